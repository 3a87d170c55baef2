/** Accepts, distributes and applies configuration versions. */
package org.mimosahinge.core.config;

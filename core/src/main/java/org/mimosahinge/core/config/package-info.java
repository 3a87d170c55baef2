/** Decisions about accepting, distributing and applying configuration versions. */
package org.mimosahinge.core.config;

/** Versions of the configuration and what nodes keep of them. */
package org.mimosahinge.api.config;

/** Configuration versions, updates between them and the state that nodes derive from them. */
package org.mimosahinge.api.config;

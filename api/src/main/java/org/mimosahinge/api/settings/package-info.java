/** Settings of a daemon. */
package org.mimosahinge.api.settings;

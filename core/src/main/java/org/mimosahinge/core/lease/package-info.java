/** Decisions about roles held by lease. */
package org.mimosahinge.core.lease;

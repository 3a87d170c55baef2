/** Leases for the roles of nodes: acquisition, renewal, release and takeover. */
package org.mimosahinge.core.lease;

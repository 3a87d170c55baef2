package org.mimosahinge.core.config;

import org.mimosahinge.core.lease.HeldLease;

/**
 * What a relay knows about its own term.
 *
 * @param lease the lease as its holder sees it
 * @param headVersionAtStart head version read in one view with the lease row after the lease was acquired
 */
public record RelayTerm(HeldLease lease, long headVersionAtStart) {}

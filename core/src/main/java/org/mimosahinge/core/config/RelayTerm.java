package org.mimosahinge.core.config;

import org.mimosahinge.core.lease.HeldLease;

/**
 * A relay's term, which begins with the acquisition of its lease.
 *
 * @param lease the lease as its holder sees it
 * @param headVersionAtStart head version from a consistent read of head and lease row after the lease was acquired
 */
public record RelayTerm(HeldLease lease, long headVersionAtStart) {}

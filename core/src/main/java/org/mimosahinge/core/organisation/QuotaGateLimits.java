package org.mimosahinge.core.organisation;

/**
 * Limits of an organisation's calls at a node.
 *
 * @param whole limit over all nodes
 * @param part the part of one node without a coordinator
 */
public record QuotaGateLimits(QuotaLimit whole, QuotaLimit part) {

    /** Returns the part with room for the fraction of a call that is added to each start. */
    QuotaLimit partCeiling() {
        return new QuotaLimit(part.callsPerS(), part.capacity() + 1);
    }
}

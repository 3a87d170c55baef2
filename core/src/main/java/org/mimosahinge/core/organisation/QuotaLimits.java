package org.mimosahinge.core.organisation;

import java.util.Map;

/**
 * Quotas that are enforced in a fleet.
 *
 * @param whole limits over all nodes, by organisation
 * @param knownNodes known nodes of the fleet, including this one
 * @param bounds bounds of the agreement
 */
public record QuotaLimits(Map<String, QuotaLimit> whole, int knownNodes, OrganisationBounds bounds) {

    /** Makes an immutable copy of the map. */
    public QuotaLimits {
        whole = Map.copyOf(whole);
    }

    /**
     * Returns the limits of one organisation's calls at a node.
     *
     * @param organisation name of an organisation with a quota
     * @return its limits
     */
    public QuotaGateLimits of(String organisation) {
        QuotaLimit limit = whole.get(organisation);
        return new QuotaGateLimits(limit, limit.partOfOne(knownNodes));
    }
}

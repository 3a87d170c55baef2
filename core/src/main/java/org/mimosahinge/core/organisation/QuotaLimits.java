package org.mimosahinge.core.organisation;

import java.util.HashMap;
import java.util.Map;
import org.mimosahinge.api.contract.Organisation;
import org.mimosahinge.api.contract.Organisations;

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
     * Returns the limits of the organisations that have a quota.
     *
     * @param organisations organisations of the configuration in force
     * @param knownNodes known nodes of the fleet, including this one
     * @param bounds bounds of the agreement
     * @return the limits
     */
    public static QuotaLimits of(Organisations organisations, int knownNodes, OrganisationBounds bounds) {
        Map<String, QuotaLimit> whole = new HashMap<>();
        for (Organisation organisation : organisations.all()) {
            if (organisation.quota().limited()) {
                whole.put(organisation.name(), QuotaLimit.of(organisation.quota(), bounds));
            }
        }
        return new QuotaLimits(whole, knownNodes, bounds);
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

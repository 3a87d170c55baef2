package org.mimosahinge.core.organisation;

import org.mimosahinge.api.contract.Quota;

/**
 * The limit that a quota is enforced with.
 *
 * @param callsPerS calls per second that may be admitted for ever
 * @param capacity calls that may be admitted at once after a pause
 */
public record QuotaLimit(double callsPerS, double capacity) {

    /**
     * Fraction of the tolerated excess that is given to callers at once. It carries the irregular arrivals of small
     * organisations, whose burst is one or two calls; the rest is for calls that are admitted before their report
     * arrives.
     */
    private static final double SLACK_FRACTION = 0.5;

    /** Fraction of the tolerated overage that nodes without a coordinator may use; the rest is for late reports. */
    private static final double OVERAGE_FRACTION = 0.5;

    /**
     * Returns the limit over all nodes.
     *
     * @param quota quota of the organisation
     * @param bounds bounds of the agreement
     * @return the limit
     */
    public static QuotaLimit of(Quota quota, OrganisationBounds bounds) {
        return new QuotaLimit(quota.callsPerS(), Math.max(1, quota.burst() + SLACK_FRACTION * bounds.quotaSlack()));
    }

    /**
     * Returns the part of one node that has no contact to a coordinator.
     *
     * @param nodes known nodes, including this one
     * @return the part
     */
    public QuotaLimit partOfOne(int nodes) {
        return new QuotaLimit(callsPerS / nodes, capacity / nodes);
    }

    /**
     * Returns the limit of the nodes that a coordinator reaches; the others use their own parts. Only a coordinator of
     * most nodes uses the overage, since there may be several of a few nodes each.
     *
     * @param reached reached nodes, including the coordinator
     * @param known known nodes, including the coordinator
     * @param bounds bounds of the agreement
     * @return the limit
     */
    public QuotaLimit partOfReached(int reached, int known, OrganisationBounds bounds) {
        double overage = 2 * reached > known ? OVERAGE_FRACTION * bounds.quotaOverage() : 0;
        double fraction = Math.min(1, (double) reached / known + overage);
        return new QuotaLimit(callsPerS * fraction, capacity * fraction);
    }
}

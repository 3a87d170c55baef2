package org.mimosahinge.core.routing;

import org.mimosahinge.api.world.Proximity;

/**
 * What delay a caller accepts to keep bytes off a paid link, and to avoid an endpoint that fails.
 *
 * @param crossZoneMsPerKb delay worth one kilobyte between zones of a region, in milliseconds
 * @param crossRegionMsPerKb delay worth one kilobyte between regions, in milliseconds
 * @param failurePenaltyMs delay worth one failed call, in milliseconds
 */
public record CostModel(double crossZoneMsPerKb, double crossRegionMsPerKb, double failurePenaltyMs) {

    /**
     * Costs of a deployment whose zones and regions are joined by paid links. A listing of 5 KB then goes to another
     * zone when that saves about 150 ms, which is less than half of a target latency, and a download of 90 KB only when
     * its zone has no endpoint that takes it.
     */
    public static final CostModel PAID_LINKS = new CostModel(30, 50, 400);

    /** Costs where only time counts. */
    public static final CostModel TIME_ONLY = new CostModel(0, 0, 400);

    double transferCostMs(Proximity proximity, double kilobytes) {
        return switch (proximity) {
            case SAME_ZONE -> 0;
            case SAME_REGION -> crossZoneMsPerKb * kilobytes;
            case ACROSS_LINK -> crossRegionMsPerKb * kilobytes;
        };
    }
}

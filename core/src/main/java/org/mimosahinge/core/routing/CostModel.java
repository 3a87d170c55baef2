package org.mimosahinge.core.routing;

import org.mimosahinge.api.world.Proximity;

/**
 * Converts the cost of transferred bytes and of failed calls to milliseconds of added latency, so that endpoints can be
 * compared by one figure.
 *
 * @param crossZoneMsPerKb latency that offsets one kilobyte sent between zones of a region, in milliseconds
 * @param crossRegionMsPerKb latency that offsets one kilobyte sent between regions, in milliseconds
 * @param failurePenaltyMs latency that offsets one failed call, in milliseconds
 */
public record CostModel(double crossZoneMsPerKb, double crossRegionMsPerKb, double failurePenaltyMs) {

    /**
     * Costs of a deployment that pays for traffic between zones and regions. A 5 KB response is fetched from another
     * zone if that saves about 150 ms, which is less than half of a target latency. A 90 KB download leaves its zone
     * only if no endpoint there accepts it.
     */
    public static final CostModel PAID_LINKS = new CostModel(30, 50, 400);

    /** Costs of a deployment where traffic is free and only latency counts. */
    public static final CostModel TIME_ONLY = new CostModel(0, 0, 400);

    double transferCostMs(Proximity proximity, double kilobytes) {
        return switch (proximity) {
            case SAME_ZONE -> 0;
            case SAME_REGION -> crossZoneMsPerKb * kilobytes;
            case ACROSS_LINK -> crossRegionMsPerKb * kilobytes;
        };
    }
}

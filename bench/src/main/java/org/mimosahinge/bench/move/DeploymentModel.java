package org.mimosahinge.bench.move;

import java.util.List;

/**
 * Model of the service that moves, with its endpoints and its normal traffic.
 *
 * @param name name in the printed lines
 * @param endpoints endpoints of each version
 * @param slots slots of each endpoint
 * @param zones number of availability zones with endpoints
 * @param callsPerSecond call rate of the service
 * @param medianMs median latency of a call in milliseconds
 * @param routeWeights fraction of the calls on each route; the sum is 1
 * @param moveMinutes possible lengths of a move in minutes, from which each run draws one
 */
record DeploymentModel(
        String name,
        int endpoints,
        int slots,
        int zones,
        double callsPerSecond,
        double medianMs,
        List<Double> routeWeights,
        List<Integer> moveMinutes) {
    /** Listings of the time bank: 6 endpoints with 20 slots each, of which about a sixth are busy. */
    static final DeploymentModel ZEITBOERSE = new DeploymentModel(
            "zeitboerse", 6, 20, 4, 80, 150, List.of(0.45, 0.25, 0.15, 0.1, 0.04, 0.01), List.of(30, 30, 30, 45));

    /** Storefront of the wax subscriptions: 7 endpoints with 10 slots each, of which about a sixth are busy. */
    static final DeploymentModel HIMAL = new DeploymentModel(
            "himal", 7, 10, 4, 40, 150, List.of(0.5, 0.25, 0.15, 0.08, 0.02), List.of(30, 30, 45, 60));

    /** Downloads of the library: one call every 2.5 seconds. */
    static final DeploymentModel LOW_TRAFFIC =
            new DeploymentModel("low_traffic", 4, 10, 4, 0.4, 200, List.of(0.8, 0.2), List.of(60, 90, 120, 120));

    /** The deployments that are measured. */
    static final List<DeploymentModel> ALL = List.of(ZEITBOERSE, HIMAL, LOW_TRAFFIC);

    /**
     * Returns the zone of an endpoint. Zones are assigned in turn, with an offset for the new version, so that the two
     * versions are spread differently over the zones.
     */
    int zone(boolean newVersion, int endpoint) {
        return (endpoint + (newVersion ? 2 : 0)) % zones;
    }
}

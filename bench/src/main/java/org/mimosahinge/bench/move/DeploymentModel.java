package org.mimosahinge.bench.move;

import java.util.List;

/**
 * The service under test and its usual traffic.
 *
 * @param name name in the printed lines
 * @param endpoints endpoints of each version
 * @param slots slots of each endpoint
 * @param zones availability zones that hold the endpoints
 * @param callsPerSecond call rate of the service
 * @param medianMs median latency
 * @param routeWeights share of each route in the calls, summing to 1
 * @param moveMinutes lengths of moves; a seed picks one
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
    /** Listings of the time bank: 6 endpoints with 20 slots, about a sixth of the slots busy. */
    static final DeploymentModel ZEITBOERSE = new DeploymentModel(
            "zeitboerse", 6, 20, 4, 80, 150, List.of(0.45, 0.25, 0.15, 0.1, 0.04, 0.01), List.of(30, 30, 30, 45));

    /** Storefront of the wax subscriptions: 7 endpoints with 10 slots, about a sixth of them busy. */
    static final DeploymentModel HIMAL = new DeploymentModel(
            "himal", 7, 10, 4, 40, 150, List.of(0.5, 0.25, 0.15, 0.08, 0.02), List.of(30, 30, 45, 60));

    /** A download route of the library: a call every two and a half seconds. */
    static final DeploymentModel LOW_TRAFFIC =
            new DeploymentModel("low_traffic", 4, 10, 4, 0.4, 200, List.of(0.8, 0.2), List.of(60, 90, 120, 120));

    /** All deployments measured. */
    static final List<DeploymentModel> ALL = List.of(ZEITBOERSE, HIMAL, LOW_TRAFFIC);

    /** Zones are filled in turn; the new version starts elsewhere, so that the versions lie unevenly. */
    int zone(boolean newVersion, int endpoint) {
        return (endpoint + (newVersion ? 2 : 0)) % zones;
    }
}

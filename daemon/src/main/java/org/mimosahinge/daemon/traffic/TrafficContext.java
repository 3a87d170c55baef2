package org.mimosahinge.daemon.traffic;

import java.util.function.Supplier;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.platform.TableService;
import org.mimosahinge.core.routing.EndpointChooser;
import org.mimosahinge.core.routing.RandomSource;

/**
 * What all traffic threads of a node share.
 *
 * @param config settings
 * @param snapshots configuration in force
 * @param table holds the claims of at-most-once calls
 * @param listener takes reports
 * @param policies decisions that vary
 */
record TrafficContext(
        TrafficConfig config,
        Supplier<Snapshot> snapshots,
        TableService table,
        TrafficListener listener,
        TrafficPolicies policies) {

    EndpointChooser chooser() {
        return policies.chooser();
    }

    RandomSource random() {
        return policies.random();
    }
}

package org.mimosahinge.bench.calls;

import java.time.Duration;
import java.util.function.BiConsumer;
import org.mimosahinge.api.world.AvailabilityZone;

/**
 * Load and faults of one run.
 *
 * @param name part of the names of its figures
 * @param callsPerSecond the load
 * @param time length of the run
 * @param every time between faults; longer than the run for a single one at its start
 * @param otherZone zone of the nodes that take no callers
 * @param fault causes one fault
 */
record CallScenario(
        String name,
        int callsPerSecond,
        Duration time,
        Duration every,
        AvailabilityZone otherZone,
        BiConsumer<CallMesh, CallLoad> fault) {}

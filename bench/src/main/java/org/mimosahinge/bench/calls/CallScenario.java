package org.mimosahinge.bench.calls;

import java.time.Duration;
import java.util.function.BiConsumer;
import org.mimosahinge.api.world.AvailabilityZone;

/**
 * Load and faults of one run.
 *
 * @param name part of the names of its figures
 * @param callsPerSecond the load
 * @param duration length of the run
 * @param faultInterval time between faults; longer than the run for a single one at its start
 * @param secondZone zone of the nodes that take no callers
 * @param faultInjection causes one fault
 */
record CallScenario(
        String name,
        int callsPerSecond,
        Duration duration,
        Duration faultInterval,
        AvailabilityZone secondZone,
        BiConsumer<CallMesh, CallLoad> faultInjection) {}

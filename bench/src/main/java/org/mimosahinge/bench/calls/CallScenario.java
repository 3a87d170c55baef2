package org.mimosahinge.bench.calls;

import java.time.Duration;
import java.util.function.BiConsumer;
import org.mimosahinge.api.world.AvailabilityZone;

/**
 * Load and injected faults of one run.
 *
 * @param name name in the printed lines
 * @param callsPerSecond rate of calls
 * @param duration length of the run
 * @param faultInterval time between faults; longer than the run for a single fault at its start
 * @param secondZone zone of the nodes that accept no calls
 * @param faultInjection injects one fault
 */
record CallScenario(
        String name,
        int callsPerSecond,
        Duration duration,
        Duration faultInterval,
        AvailabilityZone secondZone,
        BiConsumer<CallMesh, CallLoad> faultInjection) {}

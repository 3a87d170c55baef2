package org.mimosahinge.bench.calls;

import java.util.function.BiConsumer;

/**
 * Load and faults of one run.
 *
 * @param name part of the names of its figures
 * @param callsPerSecond the load
 * @param everyMs time between faults
 * @param fault causes one fault
 */
record CallScenario(String name, int callsPerSecond, long everyMs, BiConsumer<CallMesh, CallLoad> fault) {}

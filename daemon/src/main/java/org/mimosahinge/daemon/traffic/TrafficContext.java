package org.mimosahinge.daemon.traffic;

import java.util.concurrent.atomic.AtomicReference;
import org.mimosahinge.api.platform.TableService;
import org.mimosahinge.core.poison.CrashRegistry;

/**
 * What all traffic threads of a node share.
 *
 * @param config settings
 * @param snapshots configuration in force
 * @param table holds the claims of at-most-once calls
 * @param listener takes reports
 * @param policies decisions that vary
 * @param crashes requests that crashed backend servers; changes only at crashes
 * @param metrics counts calls
 */
record TrafficContext(
        TrafficConfig config,
        SnapshotSource snapshots,
        TableService table,
        TrafficListener listener,
        TrafficPolicies policies,
        AtomicReference<CrashRegistry> crashes,
        CallMetrics metrics) {}

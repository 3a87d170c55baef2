package org.mimosahinge.daemon.traffic;

import java.util.concurrent.atomic.AtomicReference;
import org.mimosahinge.api.platform.TableService;
import org.mimosahinge.core.poison.CrashRegistry;
import org.mimosahinge.core.retry.RunningRepeats;

/**
 * State and services shared by all traffic threads of a node.
 *
 * @param config settings
 * @param snapshots provides the configuration in force
 * @param table stores the claims of at-most-once calls
 * @param listener receives events
 * @param policies replaceable decisions
 * @param crashes requests that crashed backend servers; updated only after crashes
 * @param metrics counts calls
 * @param runningRepeats calls that run at the backend servers of this node
 * @param quotas admits the calls of organisations with a quota
 */
record TrafficContext(
        TrafficConfig config,
        SnapshotSource snapshots,
        TableService table,
        TrafficListener listener,
        TrafficPolicies policies,
        AtomicReference<CrashRegistry> crashes,
        CallMetrics metrics,
        RunningRepeats runningRepeats,
        QuotaGates quotas) {}

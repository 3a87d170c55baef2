package org.mimosahinge.daemon.control;

import java.time.Instant;
import java.util.Map;
import java.util.function.LongConsumer;
import org.mimosahinge.core.lease.LeaseTiming;
import org.mimosahinge.core.move.CallOutcomes;
import org.mimosahinge.core.move.StandardMovePolicy;
import org.mimosahinge.net.frame.Frame;

/** Collects call outcomes of moves, applies this node's circuit breakers and runs the controller at the tree's root. */
final class MoveCoordinator {

    /** All call outcomes arrive at the root of the tree, so one controller serves all services. */
    private static final int CONTROLLER_SHARD = 0;

    private final ControlLinks links;
    private final SnapshotReference snapshots;
    private final LeaseManager controllerLease;
    private final MoveController controller;
    private final VersionCircuitBreakers circuitBreakers;
    private final ServiceCallOutcomes localOutcomes = new ServiceCallOutcomes();
    private final ServiceCallOutcomes subtreeOutcomes = new ServiceCallOutcomes();

    MoveCoordinator(
            NodeContext context,
            LeaseTiming timing,
            SnapshotReference snapshots,
            ControlLinks links,
            Membership membership,
            LongConsumer onRecorded) {
        this.links = links;
        this.snapshots = snapshots;
        controllerLease = new LeaseManager(RowCodec.controllerLeaseKey(CONTROLLER_SHARD), context, timing);
        controller = new MoveController(
                context, snapshots, controllerLease, new StandardMovePolicy(), membership, onRecorded);
        circuitBreakers = new VersionCircuitBreakers(membership);
    }

    /** Adds outcomes of this node's own calls. */
    void addLocalOutcomes(Map<String, CallOutcomes> outcomes) {
        outcomes.forEach(localOutcomes::add);
    }

    /** Adds outcomes that a child has collected from its subtree. */
    void received(Frame.CallOutcomes outcomes) {
        subtreeOutcomes.add(outcomes.service(), CallOutcomeFrames.fromFrame(outcomes));
    }

    /** Processes the call outcomes of the last period and sends them to the parent. */
    void advance(boolean root, Instant now) {
        Map<String, CallOutcomes> local = localOutcomes.takeAll();
        circuitBreakers.advance(snapshots.get().moves(), local, now);
        local.forEach(subtreeOutcomes::add);
        Map<String, CallOutcomes> collected = subtreeOutcomes.takeAll();
        if (root) {
            controllerLease.advance();
            controller.advance(collected, now);
            return;
        }
        links.parent()
                .ifPresent(parent -> collected.forEach(
                        (service, outcomes) -> parent.send(CallOutcomeFrames.toFrame(service, outcomes))));
    }

    /** Releases the controller lease. */
    void shutDown() {
        controllerLease.resign();
        controllerLease.advance();
    }
}

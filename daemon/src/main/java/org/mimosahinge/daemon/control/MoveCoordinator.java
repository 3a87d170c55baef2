package org.mimosahinge.daemon.control;

import java.time.Instant;
import java.util.Map;
import java.util.function.LongConsumer;
import org.mimosahinge.core.lease.LeaseTiming;
import org.mimosahinge.core.move.CallOutcomes;
import org.mimosahinge.core.move.StandardMovePolicy;
import org.mimosahinge.net.frame.Frame;

/** Collects evidence on moves, brakes on this node's own and controls moves at the root of the tree. */
final class MoveCoordinator {

    /** All evidence arrives at the root of the tree, so one controller serves all services. */
    private static final int CONTROLLER_SHARD = 0;

    private final Links links;
    private final SnapshotReference snapshots;
    private final LeaseKeeper role;
    private final MoveController controller;
    private final MoveBrakes brakes;
    private final MoveEvidence own = new MoveEvidence();
    private final MoveEvidence subtree = new MoveEvidence();

    MoveCoordinator(
            NodeContext context,
            LeaseTiming timing,
            SnapshotReference snapshots,
            Links links,
            Membership membership,
            LongConsumer recorded) {
        this.links = links;
        this.snapshots = snapshots;
        role = new LeaseKeeper(Rows.controller(CONTROLLER_SHARD), context, timing);
        controller = new MoveController(context, snapshots, role, new StandardMovePolicy(), membership, recorded);
        brakes = new MoveBrakes(membership);
    }

    /** Takes note of outcomes of this node's own calls. */
    void ownCalls(Map<String, CallOutcomes> evidence) {
        evidence.forEach(own::add);
    }

    /** Takes note of outcomes that a child has collected. */
    void received(Frame.CallOutcomes evidence) {
        subtree.add(evidence.service(), EvidenceFrames.fromFrame(evidence));
    }

    /** Judges the evidence of the last period and sends it up the tree. */
    void advance(boolean root, Instant now) {
        Map<String, CallOutcomes> ownCalls = own.drain();
        brakes.observe(snapshots.get().moves(), ownCalls, now);
        ownCalls.forEach(subtree::add);
        Map<String, CallOutcomes> collected = subtree.drain();
        if (root) {
            role.advance();
            controller.advance(collected, now);
            return;
        }
        links.parent()
                .ifPresent(parent -> collected.forEach(
                        (service, evidence) -> parent.send(EvidenceFrames.toFrame(service, evidence))));
    }

    /** Releases the role of controller. */
    void leave() {
        role.leave();
        role.advance();
    }
}

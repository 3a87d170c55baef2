package org.mimosahinge.daemon.control;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.Move;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.error.CompletionFailures;
import org.mimosahinge.api.platform.Condition;
import org.mimosahinge.api.platform.Put;
import org.mimosahinge.api.platform.ReadRequest;
import org.mimosahinge.api.platform.ReadResult;
import org.mimosahinge.api.platform.Transaction;
import org.mimosahinge.api.platform.TransactionResult;
import org.mimosahinge.core.config.SubmissionPolicy;
import org.mimosahinge.core.lease.HeldLease;
import org.mimosahinge.core.move.CallOutcomes;
import org.mimosahinge.core.move.MoveConditions;
import org.mimosahinge.core.move.MoveDecision;
import org.mimosahinge.core.move.MovePolicy;
import org.mimosahinge.core.move.MoveStates;
import org.mimosahinge.core.move.MoveView;
import org.mimosahinge.core.move.Observation;
import org.mimosahinge.net.log.EventLog;

/**
 * Decides on moves while it holds the controller lease and commits each decision as a new configuration version.
 *
 * <p>Decisions depend on the stored state of the moves and on the call outcomes since this node acquired the lease, so
 * a successor continues from the stored share.
 */
final class MoveController {

    private static final EventLog LOG = EventLog.of("move");

    private final NodeContext context;
    private final Supplier<Snapshot> snapshots;
    private final LeaseManager controllerLease;
    private final MovePolicy policy;
    private final Membership membership;
    private final LongConsumer onRecorded;
    private final Map<String, MonitoredMove> monitoredMoves = new HashMap<>();
    private boolean recording;
    private boolean platformAvailable = true;

    /** A move and the call outcomes observed since its state was committed or this node acquired the lease. */
    private record MonitoredMove(MoveState state, Observation observation) {}

    MoveController(
            NodeContext context,
            Supplier<Snapshot> snapshots,
            LeaseManager controllerLease,
            MovePolicy policy,
            Membership membership,
            LongConsumer onRecorded) {
        this.context = context;
        this.snapshots = snapshots;
        this.controllerLease = controllerLease;
        this.policy = policy;
        this.membership = membership;
        this.onRecorded = onRecorded;
    }

    /** Adds the call outcomes of a period and decides on every move; without the lease, observations are discarded. */
    void advance(Map<String, CallOutcomes> outcomes, Instant now) {
        Optional<HeldLease> held = controllerLease.held();
        if (held.isEmpty()) {
            monitoredMoves.clear();
            return;
        }
        Snapshot snapshot = snapshots.get();
        monitoredMoves.keySet().retainAll(snapshot.moves().keySet());
        for (MoveState state : snapshot.moves().values()) {
            MonitoredMove next = observe(state, outcomes.getOrDefault(state.service(), CallOutcomes.EMPTY), now);
            monitoredMoves.put(state.service(), next);
            decide(snapshot, next, held.get(), now);
        }
    }

    private MonitoredMove observe(MoveState state, CallOutcomes outcomes, Instant now) {
        MonitoredMove before = monitoredMoves.get(state.service());
        if (before == null || before.state().sectionRevision() != state.sectionRevision()) {
            return new MonitoredMove(state, Observation.startingAt(state, now).plus(now, outcomes));
        }
        Observation continued = before.state().equals(state)
                ? before.observation()
                : before.observation().nextStep(before.state(), state);
        return new MonitoredMove(state, continued.plus(now, outcomes));
    }

    private void decide(Snapshot snapshot, MonitoredMove move, HeldLease held, Instant now) {
        MoveState state = move.state();
        MoveConditions conditions = MoveConditions.from(snapshot, state, platformAvailable);
        MoveDecision decision =
                policy.decide(new MoveView(now, state, requestedMove(snapshot, state), move.observation(), conditions));
        if (!decision.changesState()) {
            return;
        }
        if (decision.kind() == MoveDecision.Kind.TAKE_BACK) {
            // The halt mark reaches all nodes at once; committing the decision below may have to wait for the platform.
            membership.halt(MoveConditions.haltMark(state));
        }
        if (!recording) {
            recordDecision(MoveStates.apply(state, decision, now), decision, held);
        }
    }

    private static Optional<Move> requestedMove(Snapshot snapshot, MoveState state) {
        return Optional.ofNullable(snapshot.services().get(state.service())).flatMap(Service::move);
    }

    private void recordDecision(MoveState next, MoveDecision decision, HeldLease held) {
        recording = true;
        context.table()
                .read(new ReadRequest(List.of(RowCodec.HEAD_KEY), List.of()))
                .thenAcceptAsync(read -> commitDecision(read, next, decision, held), context.control())
                .whenCompleteAsync(
                        (done, failure) -> {
                            if (failure != null) {
                                recordingEnded(failure);
                            }
                        },
                        context.control());
    }

    private void commitDecision(ReadResult read, MoveState next, MoveDecision decision, HeldLease held) {
        var head = SubmissionPolicy.recordMove(RowCodec.head(read), next);
        if (head.isEmpty()) {
            // Operators have changed the section, or an earlier write took effect; the next version shows which.
            recordingEnded(null);
            return;
        }
        Transaction transaction = new Transaction(
                List.of(new Condition(RowCodec.HEAD_KEY, head.get().rowRevision()), held.fence()),
                List.of(new Put(RowCodec.HEAD_KEY, RowCodec.encode(head.get().value()))),
                List.of());
        context.table()
                .commit(transaction)
                .whenCompleteAsync(
                        (result, failure) -> {
                            if (result instanceof TransactionResult.Committed) {
                                logDecision(next, decision);
                                onRecorded.accept(head.get().value().version());
                            }
                            recordingEnded(failure);
                        },
                        context.control());
    }

    /** Does not retry after a lost response: the next decision uses the state that is in the head row by then. */
    private void recordingEnded(Throwable failure) {
        recording = false;
        platformAvailable = failure == null;
        if (failure != null) {
            LOG.warn("move_record_failed", "error", CompletionFailures.errorCode(failure));
        }
    }

    private static void logDecision(MoveState next, MoveDecision decision) {
        LOG.info(
                "move_decision",
                "service",
                next.service(),
                "from",
                next.from(),
                "to",
                next.to(),
                "decision",
                decision.kind(),
                "sharePermille",
                next.sharePermille(),
                "phase",
                next.phase(),
                "reason",
                next.reason());
    }
}

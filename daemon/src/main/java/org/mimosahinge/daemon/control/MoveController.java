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
 * Decides on moves in the role of controller and records each decision as a new version.
 *
 * <p>What it decides on comes from the durable state of the moves and the evidence since it took over, so a successor
 * continues from the recorded share.
 */
final class MoveController {

    private static final EventLog LOG = EventLog.of("move");

    private final NodeContext context;
    private final Supplier<Snapshot> snapshots;
    private final LeaseKeeper lease;
    private final MovePolicy policy;
    private final Membership membership;
    private final LongConsumer recorded;
    private final Map<String, Watched> watched = new HashMap<>();
    private boolean writing;
    private boolean platformAvailable = true;

    /** A move and the evidence on it since its state was recorded or this controller took over. */
    private record Watched(MoveState state, Observation observation) {}

    MoveController(
            NodeContext context,
            Supplier<Snapshot> snapshots,
            LeaseKeeper lease,
            MovePolicy policy,
            Membership membership,
            LongConsumer recorded) {
        this.context = context;
        this.snapshots = snapshots;
        this.lease = lease;
        this.policy = policy;
        this.membership = membership;
        this.recorded = recorded;
    }

    /** Takes the evidence of a period and decides on every move; without the lease it forgets what it knew. */
    void advance(Map<String, CallOutcomes> evidence, Instant now) {
        Optional<HeldLease> held = lease.held();
        if (held.isEmpty()) {
            watched.clear();
            return;
        }
        Snapshot snapshot = snapshots.get();
        watched.keySet().retainAll(snapshot.moves().keySet());
        for (MoveState state : snapshot.moves().values()) {
            Watched next = observe(state, evidence.getOrDefault(state.service(), CallOutcomes.EMPTY), now);
            watched.put(state.service(), next);
            decide(snapshot, next, held.get(), now);
        }
    }

    private Watched observe(MoveState state, CallOutcomes evidence, Instant now) {
        Watched before = watched.get(state.service());
        if (before == null || before.state().sectionRevision() != state.sectionRevision()) {
            return new Watched(state, Observation.startingAt(state, now).plus(now, evidence));
        }
        Observation continued = before.state().equals(state)
                ? before.observation()
                : before.observation().nextStep(before.state(), state);
        return new Watched(state, continued.plus(now, evidence));
    }

    private void decide(Snapshot snapshot, Watched move, HeldLease held, Instant now) {
        MoveState state = move.state();
        MoveConditions conditions = MoveConditions.from(snapshot, state, platformAvailable);
        MoveDecision decision =
                policy.decide(new MoveView(now, state, requested(snapshot, state), move.observation(), conditions));
        if (!decision.changesState()) {
            return;
        }
        if (decision.kind() == MoveDecision.Kind.TAKE_BACK) {
            // Spreads over the tree at once; the record below may have to wait for the platform.
            membership.halt(MoveConditions.haltMark(state));
        }
        if (!writing) {
            record(MoveStates.apply(state, decision, now), decision, held);
        }
    }

    private static Optional<Move> requested(Snapshot snapshot, MoveState state) {
        return Optional.ofNullable(snapshot.services().get(state.service())).flatMap(Service::move);
    }

    private void record(MoveState next, MoveDecision decision, HeldLease held) {
        writing = true;
        context.table()
                .read(new ReadRequest(List.of(Rows.HEAD), List.of()))
                .thenAcceptAsync(read -> write(read, next, decision, held), context.control())
                .whenCompleteAsync(
                        (done, failure) -> {
                            if (failure != null) {
                                ended(failure);
                            }
                        },
                        context.control());
    }

    private void write(ReadResult read, MoveState next, MoveDecision decision, HeldLease held) {
        var head = SubmissionPolicy.recordMove(Rows.head(read), next);
        if (head.isEmpty()) {
            // Operators have changed the section, or an earlier write took effect; the next version tells which.
            ended(null);
            return;
        }
        Transaction transaction = new Transaction(
                List.of(new Condition(Rows.HEAD, head.get().rowRevision()), held.fence()),
                List.of(new Put(Rows.HEAD, Rows.encode(head.get().value()))),
                List.of());
        context.table()
                .commit(transaction)
                .whenCompleteAsync(
                        (result, failure) -> {
                            if (result instanceof TransactionResult.Committed) {
                                logDecision(next, decision);
                                recorded.accept(head.get().value().version());
                            }
                            ended(failure);
                        },
                        context.control());
    }

    /** A lost response needs no retry: the next decision is made on the state that is in the head by then. */
    private void ended(Throwable failure) {
        writing = false;
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

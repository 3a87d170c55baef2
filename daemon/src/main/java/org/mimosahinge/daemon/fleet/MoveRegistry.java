package org.mimosahinge.daemon.fleet;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.mimosahinge.api.config.HaltMark;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.platform.StorePosition;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.core.move.CallOutcomes;
import org.mimosahinge.core.move.RapidMovePolicy;
import org.mimosahinge.core.move.RapidMoveStep;
import org.mimosahinge.core.move.RapidMoveView;
import org.mimosahinge.net.log.EventLog;

/**
 * The moves that operators have ordered.
 *
 * <p>Each node decides on the call outcomes of the whole fleet, so it can stop calls to a version without another node.
 * One node publishes the state for operators, and that state binds all nodes.
 */
final class MoveRegistry {

    private static final EventLog LOG = EventLog.of("move");

    /** An order may reach a node this much later than the first endpoints of its version. */
    private static final long ORDER_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** Limits retries because the platform limits and charges writes, including those that fail. */
    private static final long WRITE_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long NO_REVISION = 0;

    private final Map<String, Move> moves = new HashMap<>();
    private final Map<String, PublishedOutcome> publishedOutcomes = new HashMap<>();
    private final Map<String, Map<String, Long>> versionFirstSeenNanos = new HashMap<>();
    private final Map<String, WithheldVersions> withheldVersions = new HashMap<>();
    private final long startedNanos;

    MoveRegistry(long startedNanos) {
        this.startedNanos = startedNanos;
    }

    /** The newest published state; a restarted node may receive it before the order. */
    private record PublishedOutcome(MoveOutcome outcome, StorePosition revision) {}

    /** An order and its state on this node. */
    static final class Move {

        private final MoveOrder order;
        private StorePosition orderRevision;
        private final long orderedNanos;
        private final WithheldVersions withheld;
        private final Map<NodeId, CallOutcomes> peerOutcomes = new HashMap<>();
        private CallOutcomes localOutcomes = CallOutcomes.EMPTY;
        private CallOutcomes lastSent = CallOutcomes.EMPTY;
        private RapidMoveStep step = new RapidMoveStep(MovePhase.RUNNING, 0, "ordered");
        private MovePhase publishedPhase;
        private StorePosition publishedRevision = StorePosition.NONE;
        private long decidedNanos;
        private boolean writing;
        private long nextWriteNanos;

        private Move(MoveOrder order, StorePosition orderRevision, long orderedNanos, WithheldVersions withheld) {
            this.order = order;
            this.withheld = withheld;
            this.orderRevision = orderRevision;
            this.orderedNanos = orderedNanos;
            decidedNanos = orderedNanos;
            nextWriteNanos = orderedNanos;
        }

        MoveOrder order() {
            return order;
        }

        long decidedNanos() {
            return decidedNanos;
        }

        /** Returns the state that is not yet published, or empty if there is none or a write is in progress. */
        Optional<MoveOutcome> unpublishedOutcome() {
            if (writing || isSettled() || step.phase() == publishedPhase) {
                return Optional.empty();
            }
            return Optional.of(outcome(step.phase()));
        }

        /** Returns the content of the row that publishes a phase. */
        MoveOutcome outcome(MovePhase phase) {
            Set<String> earlier = withheld.versions();
            earlier.remove(order.to());
            return new MoveOutcome(order.service(), order.to(), phase, earlier);
        }

        /** Returns whether a published outcome ends the move. */
        private boolean isSettled() {
            return publishedPhase == MovePhase.DONE || publishedPhase == MovePhase.TAKEN_BACK;
        }

        StorePosition publishedRevision() {
            return publishedRevision;
        }

        void setWriting(boolean inProgress) {
            writing = inProgress;
        }

        /** Returns when the state may be written next, in nanoseconds. */
        long nextWriteNanos() {
            return nextWriteNanos;
        }

        void writeFailed(long nowNanos) {
            nextWriteNanos = nowNanos + WRITE_RETRY_NANOS;
        }

        private CallOutcomes totalOutcomes() {
            CallOutcomes sum = localOutcomes;
            for (CallOutcomes outcomes : peerOutcomes.values()) {
                sum = sum.plus(outcomes);
            }
            return sum;
        }

        private boolean isDecided() {
            return step.phase() != MovePhase.RUNNING;
        }
    }

    boolean hasUnsettledMoves() {
        return moves.values().stream().anyMatch(move -> !move.isSettled());
    }

    void addOrder(MoveOrder order, StorePosition revision, long nowNanos) {
        Move existing = moves.get(order.service());
        if (existing != null && !revision.isAfter(existing.orderRevision)) {
            return;
        }
        if (existing != null && existing.orderRevision.era() != revision.era() && existing.order.equals(order)) {
            // The store has come back, and the operator has written the order again. A node that starts takes the state
            // of a move for that of an earlier order unless it is published again.
            existing.orderRevision = revision;
            existing.publishedPhase = null;
            existing.decidedNanos = nowNanos;
            return;
        }
        WithheldVersions withheld = withheld(order.service());
        if (existing != null && existing.step.phase() != MovePhase.DONE) {
            withheld.withhold(existing.order.to(), revision, nowNanos);
        }
        PublishedOutcome published = publishedOutcomes.get(order.service());
        if (published != null && published.outcome.phase() != MovePhase.DONE) {
            withheld.withhold(published.outcome.to(), published.revision, nowNanos);
        }
        withheld.use(order.to());
        Move move = new Move(order, revision, nowNanos, withheld);
        moves.put(order.service(), move);
        if (published != null) {
            adoptOutcome(move, published.outcome, published.revision, nowNanos);
        }
        LOG.info(
                "move_ordered",
                "service",
                order.service(),
                "to",
                order.to(),
                "duration_ms",
                order.duration().toMillis(),
                "revision",
                revision);
    }

    /**
     * Applies a published state; it overrides this node's own decision. Returns whether the phase of its move changed
     * here.
     */
    boolean applyOutcome(MoveOutcome outcome, StorePosition revision, long nowNanos) {
        PublishedOutcome published = publishedOutcomes.get(outcome.service());
        if (published != null && !revision.isAfter(published.revision)) {
            return false;
        }
        publishedOutcomes.put(outcome.service(), new PublishedOutcome(outcome, revision));
        Move move = moves.get(outcome.service());
        withheld(outcome.service()).adopt(withheldBy(outcome, move), revision, nowNanos);
        return move != null && adoptOutcome(move, outcome, revision, nowNanos);
    }

    private WithheldVersions withheld(String service) {
        return withheldVersions.computeIfAbsent(service, key -> new WithheldVersions());
    }

    /** Returns the versions that must get no calls according to a published state and a move, null if none is known. */
    private static Set<String> withheldBy(MoveOutcome outcome, Move move) {
        Set<String> versions = new HashSet<>(outcome.withheldVersions());
        boolean replaced = move != null && !move.order.to().equals(outcome.to());
        if (outcome.phase() == MovePhase.TAKEN_BACK || outcome.phase() == MovePhase.RUNNING && replaced) {
            versions.add(outcome.to());
        }
        if (move != null) {
            // The phase of its move says what it gets.
            versions.remove(move.order.to());
        }
        return versions;
    }

    private static boolean adoptOutcome(Move move, MoveOutcome outcome, StorePosition revision, long nowNanos) {
        move.publishedRevision = revision;
        if (move.orderRevision.isAfter(revision) || !outcome.to().equals(move.order.to())) {
            return false;
        }
        move.publishedPhase = outcome.phase();
        if (outcome.phase() != MovePhase.RUNNING && outcome.phase() != move.step.phase()) {
            int share = outcome.phase() == MovePhase.DONE ? 1000 : 0;
            setStep(move, new RapidMoveStep(outcome.phase(), share, "decided by another node"), nowNanos);
            return true;
        }
        return false;
    }

    /**
     * Has all states published again that the platform may have lost. Nodes take their turns as after a decision, and the
     * rows that are still there are applied next.
     */
    void forgetPublished(long nowNanos) {
        publishedOutcomes.clear();
        for (Move move : moves.values()) {
            move.publishedPhase = null;
            move.publishedRevision = StorePosition.NONE;
            move.decidedNanos = nowNanos;
        }
    }

    void addLocalOutcomes(Map<String, CallOutcomes> outcomesByService) {
        outcomesByService.forEach((service, outcomes) -> {
            Move move = moves.get(service);
            if (move != null && !move.isDecided()) {
                move.localOutcomes = move.localOutcomes.plus(outcomes);
            }
        });
    }

    void setPeerOutcomes(NodeId node, String service, CallOutcomes outcomes) {
        Move move = moves.get(service);
        if (move != null) {
            move.peerOutcomes.put(node, outcomes);
        }
    }

    /** Returns the local call outcomes that other nodes do not have yet, and marks them as sent. */
    Map<String, CallOutcomes> takeUnsent() {
        Map<String, CallOutcomes> unsent = new HashMap<>();
        moves.forEach((service, move) -> {
            if (move.localOutcomes != move.lastSent && !move.isDecided()) {
                move.lastSent = move.localOutcomes;
                unsent.put(service, move.localOutcomes);
            }
        });
        return unsent;
    }

    /** Decides on running moves and returns whether one of them changed. */
    boolean advance(Map<String, List<Endpoint>> endpoints, long nowNanos) {
        boolean changed = false;
        for (Move move : moves.values()) {
            if (move.isDecided()) {
                continue;
            }
            int ready = (int) endpoints.getOrDefault(move.order.service(), List.of()).stream()
                    .filter(endpoint -> endpoint.state() == EndpointState.READY
                            && endpoint.server().version().equals(move.order.to()))
                    .count();
            RapidMoveStep step = RapidMovePolicy.decide(new RapidMoveView(
                    move.order.to(),
                    TimeUnit.NANOSECONDS.toMillis(nowNanos - move.orderedNanos),
                    move.order.duration().toMillis(),
                    ready,
                    move.totalOutcomes()));
            if (!step.equals(move.step)) {
                changed |= setStep(move, step, nowNanos);
            }
        }
        return changed;
    }

    private static boolean setStep(Move move, RapidMoveStep step, long nowNanos) {
        boolean changed = step.phase() != move.step.phase() || step.sharePermille() != move.step.sharePermille();
        if (step.phase() != move.step.phase()) {
            move.decidedNanos = nowNanos;
        }
        move.step = step;
        if (changed) {
            CallOutcomes total = move.totalOutcomes();
            LOG.info(
                    "move_decision",
                    "service",
                    move.order.service(),
                    "to",
                    move.order.to(),
                    "phase",
                    step.phase(),
                    "share_permille",
                    step.sharePermille(),
                    "elapsed_ms",
                    TimeUnit.NANOSECONDS.toMillis(nowNanos - move.orderedNanos),
                    "new_calls",
                    total.ofVersion(move.order.to()).calls(),
                    "all_calls",
                    total.total(key -> true).calls(),
                    "reason",
                    step.reason());
        }
        return changed;
    }

    Iterable<Move> moves() {
        return moves.values();
    }

    Map<String, MoveState> states() {
        Map<String, MoveState> states = new HashMap<>();
        moves.forEach((service, move) -> states.put(
                service,
                new MoveState(
                        service,
                        "",
                        move.order.to(),
                        NO_REVISION,
                        move.step.sharePermille(),
                        move.step.phase(),
                        move.step.reason(),
                        Instant.EPOCH)));
        return states;
    }

    /**
     * Returns halt marks of versions that must get no calls: those that were taken back, those of replaced orders, and
     * those whose order is not known yet.
     */
    Set<HaltMark> haltMarks(Map<String, List<Endpoint>> endpoints, long nowNanos) {
        Set<HaltMark> haltMarks = new HashSet<>();
        withheldVersions.forEach((service, withheld) -> {
            withheld.update(
                    endpoints.getOrDefault(service, List.of()).stream()
                            .map(endpoint -> endpoint.server().version())
                            .collect(Collectors.toSet()),
                    nowNanos);
            withheld.versions().forEach(version -> haltMarks.add(new HaltMark(service, version, NO_REVISION)));
        });
        endpoints.forEach((service, list) -> {
            Map<String, Long> firstSeenByVersion =
                    versionFirstSeenNanos.computeIfAbsent(service, key -> new HashMap<>());
            for (Endpoint endpoint : list) {
                firstSeenByVersion.putIfAbsent(endpoint.server().version(), nowNanos);
            }
            long earliestNanos =
                    firstSeenByVersion.values().stream().min(Long::compare).orElse(nowNanos);
            firstSeenByVersion.forEach((version, firstSeenNanos) -> {
                boolean late = firstSeenNanos - earliestNanos > ORDER_GRACE_NANOS
                        && firstSeenNanos - startedNanos > ORDER_GRACE_NANOS;
                boolean ordered = moves.containsKey(service)
                        && moves.get(service).order.to().equals(version);
                if (late && !ordered && nowNanos - firstSeenNanos < ORDER_GRACE_NANOS) {
                    haltMarks.add(new HaltMark(service, version, NO_REVISION));
                }
            });
        });
        return haltMarks;
    }
}

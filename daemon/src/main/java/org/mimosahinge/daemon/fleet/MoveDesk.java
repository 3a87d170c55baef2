package org.mimosahinge.daemon.fleet;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.config.HaltMark;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
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
 * <p>Each node decides on the evidence of the whole fleet, so a brake needs no other node. The state that operators
 * read is written by one of them and binds all.
 */
final class MoveDesk {

    private static final EventLog LOG = EventLog.of("move");

    /** An order may reach a node after the first endpoints of its version. */
    private static final long UNORDERED_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** The platform limits and charges writes, also those that fail. */
    private static final long WRITE_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long NO_REVISION = 0;

    private final Map<String, Move> moves = new HashMap<>();
    private final Map<String, PublishedOutcome> outcomes = new HashMap<>();
    private final Map<String, Map<String, Long>> versionsSince = new HashMap<>();
    private final Map<String, Set<String>> superseded = new HashMap<>();
    private final long startedNanos;

    MoveDesk(long startedNanos) {
        this.startedNanos = startedNanos;
    }

    /** The newest state that operators read; a restarted node may learn it before the order. */
    private record PublishedOutcome(MoveOutcome outcome, long revision) {}

    /** One order and its state on this node. */
    static final class Move {

        private final MoveOrder order;
        private final long orderRevision;
        private final long seenNanos;
        private final Map<NodeId, CallOutcomes> ofPeers = new HashMap<>();
        private CallOutcomes own = CallOutcomes.EMPTY;
        private CallOutcomes told = CallOutcomes.EMPTY;
        private RapidMoveStep step = new RapidMoveStep(MovePhase.RUNNING, 0, "ordered");
        private MovePhase published;
        private long publishedRevision;
        private long decidedNanos;
        private boolean writing;
        private long writeDueNanos;

        private Move(MoveOrder order, long orderRevision, long seenNanos) {
            this.order = order;
            this.orderRevision = orderRevision;
            this.seenNanos = seenNanos;
            decidedNanos = seenNanos;
            writeDueNanos = seenNanos;
        }

        MoveOrder order() {
            return order;
        }

        long decidedNanos() {
            return decidedNanos;
        }

        /** Returns the state that operators should read and do not yet read. */
        Optional<MoveOutcome> unpublished() {
            boolean decided = published == MovePhase.DONE || published == MovePhase.TAKEN_BACK;
            if (writing || decided || step.phase() == published) {
                return Optional.empty();
            }
            return Optional.of(new MoveOutcome(order.service(), order.to(), step.phase()));
        }

        long publishedRevision() {
            return publishedRevision;
        }

        void writing(boolean now) {
            writing = now;
        }

        /** Returns when the state may be written next. */
        long writeDueNanos() {
            return writeDueNanos;
        }

        void writeFailed(long nowNanos) {
            writeDueNanos = nowNanos + WRITE_RETRY_NANOS;
        }

        private CallOutcomes total() {
            CallOutcomes sum = own;
            for (CallOutcomes evidence : ofPeers.values()) {
                sum = sum.plus(evidence);
            }
            return sum;
        }

        private boolean decided() {
            return step.phase() != MovePhase.RUNNING;
        }
    }

    void ordered(MoveOrder order, long revision, long nowNanos) {
        Move known = moves.get(order.service());
        if (known != null && known.orderRevision >= revision) {
            return;
        }
        if (known != null && !known.decided() && !known.order.to().equals(order.to())) {
            superseded.computeIfAbsent(order.service(), key -> new TreeSet<>()).add(known.order.to());
        }
        superseded.getOrDefault(order.service(), new TreeSet<>()).remove(order.to());
        Move move = new Move(order, revision, nowNanos);
        moves.put(order.service(), move);
        PublishedOutcome held = outcomes.get(order.service());
        if (held != null) {
            bind(move, held.outcome, held.revision, nowNanos);
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

    /** Takes the state that operators read; it binds this node whatever it had decided. */
    boolean published(MoveOutcome outcome, long revision, long nowNanos) {
        PublishedOutcome held = outcomes.get(outcome.service());
        if (held != null && revision <= held.revision) {
            return false;
        }
        outcomes.put(outcome.service(), new PublishedOutcome(outcome, revision));
        Move move = moves.get(outcome.service());
        return move != null && bind(move, outcome, revision, nowNanos);
    }

    private static boolean bind(Move move, MoveOutcome outcome, long revision, long nowNanos) {
        move.publishedRevision = revision;
        if (revision < move.orderRevision || !outcome.to().equals(move.order.to())) {
            return false;
        }
        move.published = outcome.phase();
        if (outcome.phase() != MovePhase.RUNNING && outcome.phase() != move.step.phase()) {
            int share = outcome.phase() == MovePhase.DONE ? 1000 : 0;
            decide(move, new RapidMoveStep(outcome.phase(), share, "told by another node"), nowNanos);
            return true;
        }
        return false;
    }

    void ownCalls(Map<String, CallOutcomes> evidence) {
        evidence.forEach((service, part) -> {
            Move move = moves.get(service);
            if (move != null && !move.decided()) {
                move.own = move.own.plus(part);
            }
        });
    }

    void peerCalls(NodeId node, String service, CallOutcomes evidence) {
        Move move = moves.get(service);
        if (move != null) {
            move.ofPeers.put(node, evidence);
        }
    }

    /** Returns own evidence that other nodes do not have yet. */
    Map<String, CallOutcomes> untold() {
        Map<String, CallOutcomes> untold = new HashMap<>();
        moves.forEach((service, move) -> {
            if (move.own != move.told && !move.decided()) {
                move.told = move.own;
                untold.put(service, move.own);
            }
        });
        return untold;
    }

    /** Decides about running moves and tells whether one has changed. */
    boolean advance(Map<String, List<Endpoint>> endpoints, long nowNanos) {
        boolean changed = false;
        for (Move move : moves.values()) {
            if (move.decided()) {
                continue;
            }
            int ready = (int) endpoints.getOrDefault(move.order.service(), List.of()).stream()
                    .filter(endpoint -> endpoint.state() == EndpointState.READY
                            && endpoint.server().version().equals(move.order.to()))
                    .count();
            RapidMoveStep step = RapidMovePolicy.decide(new RapidMoveView(
                    move.order.to(),
                    TimeUnit.NANOSECONDS.toMillis(nowNanos - move.seenNanos),
                    move.order.duration().toMillis(),
                    ready,
                    move.total()));
            if (!step.equals(move.step)) {
                changed |= decide(move, step, nowNanos);
            }
        }
        return changed;
    }

    private static boolean decide(Move move, RapidMoveStep step, long nowNanos) {
        boolean changed = step.phase() != move.step.phase() || step.sharePermille() != move.step.sharePermille();
        if (step.phase() != move.step.phase()) {
            move.decidedNanos = nowNanos;
        }
        move.step = step;
        if (changed) {
            CallOutcomes total = move.total();
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
                    TimeUnit.NANOSECONDS.toMillis(nowNanos - move.seenNanos),
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

    /** Marks versions that must get no calls: replaced orders, and versions that run before their order is known. */
    Set<HaltMark> halts(Map<String, List<Endpoint>> endpoints, long nowNanos) {
        Set<HaltMark> halts = new HashSet<>();
        superseded.forEach((service, versions) ->
                versions.forEach(version -> halts.add(new HaltMark(service, version, NO_REVISION))));
        endpoints.forEach((service, list) -> {
            Map<String, Long> since = versionsSince.computeIfAbsent(service, key -> new HashMap<>());
            for (Endpoint endpoint : list) {
                since.putIfAbsent(endpoint.server().version(), nowNanos);
            }
            long earliest = since.values().stream().min(Long::compare).orElse(nowNanos);
            since.forEach((version, first) -> {
                boolean late = first - earliest > UNORDERED_NANOS && first - startedNanos > UNORDERED_NANOS;
                boolean ordered = moves.containsKey(service)
                        && moves.get(service).order.to().equals(version);
                if (late && !ordered && nowNanos - first < UNORDERED_NANOS) {
                    halts.add(new HaltMark(service, version, NO_REVISION));
                }
            });
        });
        return halts;
    }
}

package org.mimosahinge.daemon.fleet;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.mimosahinge.net.log.EventLog;

/** Publishes the states of moves; any node may do so, and nodes wait for different times, so that usually one does. */
final class MovePublisher {

    private static final EventLog LOG = EventLog.of("fleet");

    /** Additional delay per rank before a node does work that any node could do, so that usually one node does it. */
    private static final long RANK_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final FleetStore store;
    private final Peers peers;
    private final LongSupplier nanoTime;

    MovePublisher(FleetStore store, Peers peers, LongSupplier nanoTime) {
        this.store = store;
        this.peers = peers;
        this.nanoTime = nanoTime;
    }

    void publish(Iterable<MoveRegistry.Move> moves) {
        long nowNanos = nanoTime.getAsLong();
        for (MoveRegistry.Move move : moves) {
            Optional<MoveOutcome> outcome = move.unpublishedOutcome();
            long earliestNanos = move.decidedNanos() + peers.rank(move.order().service()) * RANK_DELAY_NANOS;
            if (outcome.isPresent() && nowNanos - earliestNanos >= 0 && nowNanos - move.nextWriteNanos() >= 0) {
                publish(move, outcome.get());
            }
        }
    }

    private void publish(MoveRegistry.Move move, MoveOutcome outcome) {
        move.setWriting(true);
        store.publishOutcome(outcome, move.publishedRevision().version()).whenComplete((written, failure) -> {
            move.setWriting(false);
            if (failure != null || !written) {
                move.writeFailed(nanoTime.getAsLong());
            }
            LOG.info(
                    "move_published",
                    "service",
                    outcome.service(),
                    "to",
                    outcome.to(),
                    "phase",
                    outcome.phase(),
                    "outcome",
                    failure == null ? written ? "written" : "another node was first" : "unknown");
        });
    }
}

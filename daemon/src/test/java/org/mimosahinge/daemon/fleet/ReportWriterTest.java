package org.mimosahinge.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.BackendServer;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.LogicalTimestamp;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;
import org.mimosahinge.core.membership.ServerReport;

/** Guards against a saved report that stays behind an acknowledged departure, or goes back to an earlier state. */
class ReportWriterTest {

    private static final Node SELF =
            new Node(new NodeId("n"), 1, new AvailabilityZone("a", new Region("west")), new HostPort("10.0.0.1", 1));

    private static final long TICK_NANOS = FleetControlPlane.TICK.toNanos();

    /** What becomes of a write. */
    private enum Outcome {
        DONE,
        REJECTED,
        RESPONSE_LOST,
        /** Reported as failed and performed after the next write, if its condition still holds. */
        LATE,
        /** Performed now; the response arrives with the second tick after it. */
        SLOW
    }

    private record Write(ServerReport report, long replacedRevision) {}

    /** The store with one row, in virtual time. */
    private static final class Store implements ReportStore {

        private final List<ServerReport> rows = new ArrayList<>();
        private final List<Write> late = new ArrayList<>();
        private final List<Runnable> responses = new ArrayList<>();
        private Outcome outcome = Outcome.DONE;
        private long revision;
        private long nowNanos;
        private int writes;
        private int inFlight;

        @Override
        public CompletionStage<SavedReport> saveReport(Node self, ServerReport report, long replacedRevision) {
            writes++;
            assertEquals(0, inFlight, "one write at a time");
            Write write = new Write(report, replacedRevision);
            CompletionStage<SavedReport> result =
                    switch (outcome) {
                        case DONE -> CompletableFuture.completedFuture(perform(write));
                        case REJECTED -> CompletableFuture.failedFuture(new IllegalStateException("rejected"));
                        case RESPONSE_LOST -> {
                            perform(write);
                            yield CompletableFuture.failedFuture(new IllegalStateException("response lost"));
                        }
                        case LATE -> {
                            late.add(write);
                            yield CompletableFuture.failedFuture(new IllegalStateException("no response"));
                        }
                        case SLOW -> {
                            inFlight++;
                            SavedReport saved = perform(write);
                            CompletableFuture<SavedReport> response = new CompletableFuture<>();
                            responses.add(() -> {
                                inFlight--;
                                response.complete(saved);
                            });
                            yield response;
                        }
                    };
            if (outcome != Outcome.LATE) {
                late.forEach(this::perform);
                late.clear();
            }
            return result;
        }

        private SavedReport perform(Write write) {
            if (write.replacedRevision() != revision) {
                return new SavedReport(false, revision, Optional.of(rows.get(rows.size() - 1)));
            }
            revision += 3;
            rows.add(write.report());
            return new SavedReport(true, revision, Optional.empty());
        }

        void respond() {
            List<Runnable> due = List.copyOf(responses);
            responses.clear();
            due.forEach(Runnable::run);
        }

        Optional<ServerReport> row() {
            return rows.isEmpty() ? Optional.empty() : Optional.of(rows.get(rows.size() - 1));
        }
    }

    private static ServerReport report(EndpointState state, long born, long sequence) {
        BackendServer server = new BackendServer("shop", "v1", new HostPort("10.0.0.1", 2), 16, 130, Set.of());
        return new ServerReport("e", server, state, new LogicalTimestamp(born, sequence), 0);
    }

    private static ReportWriter writer(Store store, List<ServerReport> newer) {
        return new ReportWriter(SELF, store, () -> store.nowNanos, newer::add);
    }

    private static void tick(Store store, ReportWriter writer) {
        store.nowNanos += TICK_NANOS;
        writer.tick();
    }

    @ParameterizedTest(name = "{0}")
    @EnumSource(Outcome.class)
    void departureIsSavedOnceThePlatformIsBack(Outcome outcome) {
        Store store = new Store();
        ReportWriter writer = writer(store, new ArrayList<>());
        writer.write(report(EndpointState.READY, 1, 1));
        store.outcome = outcome;
        writer.write(report(EndpointState.GONE, 1, 2));
        for (int i = 0; i < 300; i++) {
            tick(store, writer);
            store.respond();
        }
        assertTrue(store.writes <= 25, "a minute of outage cost writes: " + store.writes);
        store.outcome = Outcome.DONE;
        for (int i = 0; i < 25; i++) {
            tick(store, writer);
        }
        assertEquals(EndpointState.GONE, store.row().orElseThrow().state());
        int writes = store.writes;
        tick(store, writer);
        assertEquals(writes, store.writes, "a saved report is not written again");
    }

    @ParameterizedTest(name = "{0}: acknowledged at once {1}")
    @CsvSource({"DONE, true", "REJECTED, false", "RESPONSE_LOST, false", "LATE, false", "SLOW, false"})
    void acknowledgementWaitsForThePlatformForABoundedTime(Outcome outcome, boolean atOnce) {
        Store store = new Store();
        ReportWriter writer = writer(store, new ArrayList<>());
        store.outcome = outcome;
        writer.write(report(EndpointState.DRAINING, 1, 1));
        CompletableFuture<Void> acknowledged = writer.settledOrOverdue().toCompletableFuture();
        assertEquals(atOnce, acknowledged.isDone());
        while (!acknowledged.isDone()) {
            tick(store, writer);
            assertTrue(store.nowNanos < TimeUnit.SECONDS.toNanos(1), "the backend server no longer waits");
        }
    }

    @ParameterizedTest(name = "saved {0} born {1}, received READY born 5: newer {2}")
    @CsvSource({"READY, 4, false", "GONE, 4, false", "DRAINING, 5, true", "GONE, 5, true", "READY, 6, true"})
    void newerReportOfAnEarlierProcessIsNotOverwritten(EndpointState state, long born, boolean newer) {
        Store store = new Store();
        writer(store, new ArrayList<>()).write(report(state, born, 1));
        List<ServerReport> received = new ArrayList<>();
        writer(store, received).write(report(EndpointState.READY, 5, 2));
        assertEquals(newer ? 1 : 0, received.size());
        assertEquals(
                newer ? report(state, born, 1) : report(EndpointState.READY, 5, 2),
                store.row().orElseThrow());
    }

    private static IntStream seeds() {
        return IntStream.range(0, 300);
    }

    /** Reports in any order of a backend server's life, with restarts of the node, against any outcomes of writes. */
    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void savedReportNeverGoesBackAndReachesTheNewest(int seed) {
        Random random = new Random(seed);
        Store store = new Store();
        List<ServerReport> newer = new ArrayList<>();
        ReportWriter writer = writer(store, newer);
        ServerReport newest = null;
        long born = 1;
        for (int step = 0; step < 40; step++) {
            store.outcome = Outcome.values()[random.nextInt(Outcome.values().length)];
            EndpointState state = EndpointState.values()[1 + random.nextInt(3)];
            born += random.nextInt(4) == 0 ? 1 : 0;
            ServerReport next = report(state, born, step);
            if (newest == null || next.replaces(newest)) {
                newest = next;
                writer.write(next);
            }
            IntStream.range(0, random.nextInt(30)).forEach(i -> tick(store, writer));
            store.respond();
        }
        store.outcome = Outcome.DONE;
        IntStream.range(0, 50).forEach(i -> {
            tick(store, writer);
            store.respond();
        });
        for (int i = 1; i < store.rows.size(); i++) {
            ServerReport before = store.rows.get(i - 1);
            assertFalse(before.replaces(store.rows.get(i)), before + " was replaced by " + store.rows.get(i));
        }
        assertEquals(newest.endpointTimestamp(), store.row().orElseThrow().endpointTimestamp());
        assertEquals(List.of(), newer);
    }
}

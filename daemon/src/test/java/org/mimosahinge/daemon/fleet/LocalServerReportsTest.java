package org.mimosahinge.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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

/**
 * Guards against an endpoint that is used after its acknowledged departure, because the process that knew of it has
 * ended and nothing else kept it.
 */
class LocalServerReportsTest {

    private static final Node SELF =
            new Node(new NodeId("n"), 1, new AvailabilityZone("a", new Region("west")), new HostPort("10.0.0.1", 1));
    private static final BackendServer SERVER =
            new BackendServer("shop", "v1", new HostPort("10.0.0.1", 2), 16, 130, Set.of());
    private static final Duration HEARTBEAT = Duration.ofMillis(1_500);
    private static final long TICK_MS = FleetControlPlane.TICK.toMillis();

    /** What the backend server says to a health check. */
    private enum Health {
        HEALTHY,
        LEAVING,
        OTHER_ENDPOINT,
        NO_RESPONSE,
        CONNECTION_REFUSED
    }

    /** A process of the node in virtual time, with a store that is away. */
    private static final class NodeProcess implements ReportStore {

        private final List<CompletableFuture<Optional<String>>> pendingChecks = new ArrayList<>();
        private Health health;
        private long nowMs;
        private int checks;
        private int published;
        private final LocalServerReports reports;

        NodeProcess(Health health) {
            this.health = health;
            reports = new LocalServerReports(
                    SELF, HEARTBEAT, this, this::check, () -> TimeUnit.MILLISECONDS.toNanos(nowMs), () -> published++);
        }

        NodeProcess configured() {
            reports.setHealthPaths(Map.of("shop", "/health"));
            return this;
        }

        private CompletionStage<Optional<String>> check(HostPort server, String path) {
            assertEquals(SERVER.address(), server);
            assertEquals("/health", path);
            checks++;
            return switch (health) {
                case HEALTHY -> CompletableFuture.completedFuture(Optional.of("e"));
                case LEAVING -> CompletableFuture.completedFuture(Optional.empty());
                case OTHER_ENDPOINT -> CompletableFuture.completedFuture(Optional.of("other"));
                case CONNECTION_REFUSED -> CompletableFuture.failedFuture(new IllegalStateException("refused"));
                case NO_RESPONSE -> {
                    CompletableFuture<Optional<String>> pending = new CompletableFuture<>();
                    pendingChecks.add(pending);
                    yield pending;
                }
            };
        }

        void advanceTo(long ms) {
            while (nowMs + TICK_MS <= ms) {
                nowMs += TICK_MS;
                reports.tick();
            }
            nowMs = ms;
        }

        void report(EndpointState state, long born, long sequence) {
            reports.received(LocalServerReportsTest.report(state, born, sequence));
        }

        boolean used() {
            return reports.endpoints().stream().anyMatch(endpoint -> endpoint.state() == EndpointState.READY);
        }

        @Override
        public CompletionStage<SavedReport> saveReport(Node self, ServerReport report, long replacedRevision) {
            return CompletableFuture.failedFuture(new IllegalStateException("away"));
        }
    }

    private static ServerReport report(EndpointState state, long born, long sequence) {
        return new ServerReport("e", SERVER, state, new LogicalTimestamp(born, sequence), 0);
    }

    @ParameterizedTest(name = "saved READY read after {0} ms, health check {1}: used {2} at once, {3} after 1.8 s")
    @CsvSource({
        "0, HEALTHY, true, false",
        "1400, HEALTHY, true, false",
        "1600, HEALTHY, false, false",
        "0, LEAVING, false, false",
        "1400, LEAVING, false, false",
        "0, OTHER_ENDPOINT, false, false",
        "0, NO_RESPONSE, false, false",
        "0, CONNECTION_REFUSED, false, false"
    })
    void savedReportCountsOnlyIfTheServerConfirmsIt(long readMs, Health health, boolean atOnce, boolean later) {
        NodeProcess node = new NodeProcess(health).configured();
        node.advanceTo(readMs);
        node.reports.savedReportRead(report(EndpointState.READY, 5, 1), 7);
        assertEquals(atOnce, node.used());
        node.advanceTo(1_800);
        assertEquals(later, node.used());
    }

    @ParameterizedTest(name = "health check {0}, reports at {1} and {2} ms: used {3}, {4}")
    @CsvSource({
        "HEALTHY, 100, 1600, true, true",
        "LEAVING, 100, 1600, false, true",
        "NO_RESPONSE, 100, 1600, false, true",
        "CONNECTION_REFUSED, 100, 1600, false, true",
        "LEAVING, 100, 200, false, false",
        "NO_RESPONSE, 100, 200, false, false"
    })
    void reportThatMayBeLateNeedsConfirmation(
            Health health, long firstMs, long secondMs, boolean afterFirst, boolean afterSecond) {
        NodeProcess node = new NodeProcess(health).configured();
        node.advanceTo(firstMs);
        node.report(EndpointState.READY, 5, 1);
        assertEquals(afterFirst, node.used());
        node.advanceTo(secondMs);
        node.report(EndpointState.READY, 5, 2);
        assertEquals(afterSecond, node.used());
    }

    /** A health check may wrongly say that a leaving backend server accepts calls; a report that follows does not. */
    @ParameterizedTest(name = "report at {0} ms, then none: last used before {1} ms")
    @CsvSource({"100, 3400", "2500, 5800", "9000, 12300"})
    void singleReportCountsForTwoHeartbeatsDespiteAHealthCheck(long reportedMs, long endMs) {
        NodeProcess node = new NodeProcess(Health.HEALTHY).configured();
        node.advanceTo(reportedMs);
        node.report(EndpointState.READY, 5, 1);
        assertTrue(node.used());
        node.advanceTo(endMs);
        assertTrue(!node.used());
    }

    /** A node must not spend calls on a backend server that has left. */
    @ParameterizedTest(name = "{0}: at most {1} checks in 20 s")
    @CsvSource({"LEAVING, 7", "CONNECTION_REFUSED, 7", "NO_RESPONSE, 1"})
    void checksEndWithTheReport(Health health, int most) {
        NodeProcess node = new NodeProcess(health).configured();
        node.report(EndpointState.READY, 5, 1);
        node.advanceTo(20_000);
        assertTrue(node.checks <= most, "checks: " + node.checks);
    }

    @ParameterizedTest(name = "configuration after {0} ms: used {1}")
    @CsvSource({"0, true", "1000, true", "1800, false"})
    void checkWaitsForTheConfigurationThatNamesItsPath(long configuredMs, boolean used) {
        NodeProcess node = new NodeProcess(Health.HEALTHY);
        node.reports.savedReportRead(report(EndpointState.READY, 5, 1), 7);
        node.advanceTo(configuredMs);
        assertEquals(0, node.checks);
        node.configured();
        assertEquals(used, node.used());
    }

    /** The check was answered before the departure, and its result arrives after it. */
    @ParameterizedTest(name = "{0} before the result of the check")
    @CsvSource({"DRAINING", "GONE"})
    void departureOutweighsAnEarlierCheck(EndpointState departure) {
        NodeProcess node = new NodeProcess(Health.NO_RESPONSE).configured();
        node.report(EndpointState.READY, 5, 1);
        node.report(departure, 5, 2);
        node.pendingChecks.forEach(check -> check.complete(Optional.of("e")));
        assertEquals(departure, node.reports.endpoints().get(0).state());
        node.report(EndpointState.READY, 5, 3);
        assertEquals(departure, node.reports.endpoints().get(0).state());
    }

    /** A deregistration without a body does not say which start it ends, so a late report and a new start look alike. */
    @ParameterizedTest(name = "health check {0}: used {1}")
    @CsvSource({"LEAVING, false", "NO_RESPONSE, false", "HEALTHY, true"})
    void reportOfAnEndpointThatHasDeregisteredNeedsConfirmation(Health health, boolean used) {
        NodeProcess node = new NodeProcess(Health.HEALTHY).configured();
        node.reports.received(new ServerReport("before", SERVER, EndpointState.READY, new LogicalTimestamp(4, 1), 0));
        node.advanceTo(1_500);
        node.reports.received(new ServerReport("before", SERVER, EndpointState.READY, new LogicalTimestamp(4, 2), 0));
        assertTrue(node.used());
        node.reports.deregistered("e");
        node.health = health;
        int publishedBefore = node.published;
        node.report(EndpointState.READY, 5, 1);
        assertEquals(used, node.used());
        assertTrue(node.published > publishedBefore, "other nodes must not use the endpoint before it");
    }

    @ParameterizedTest(name = "later start under the same identifier, health check {0}")
    @CsvSource({"HEALTHY", "NO_RESPONSE", "LEAVING"})
    void laterStartIsUsedAtOnceAfterTheServerWasConfirmed(Health health) {
        NodeProcess node = new NodeProcess(Health.HEALTHY).configured();
        node.report(EndpointState.READY, 5, 1);
        node.report(EndpointState.GONE, 5, 2);
        node.health = health;
        node.report(EndpointState.READY, 6, 1);
        assertTrue(node.used());
    }

    private static IntStream seeds() {
        return IntStream.range(0, 300);
    }

    /**
     * Reports, reads of the saved report and health checks in any order, after a departure that the process does not
     * know: the endpoint is never used.
     */
    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void endpointThatHasLeftIsNeverUsed(int seed) {
        Random random = new Random(seed);
        NodeProcess node = new NodeProcess(Health.LEAVING);
        // One late report at most, or several that arrive together.
        long lateMs = random.nextInt(4_000);
        int lateReports = random.nextInt(3);
        long readMs = random.nextInt(4_000);
        long configuredMs = random.nextInt(4_000);
        for (int ms = 0; ms < 12_000; ms += 50) {
            node.advanceTo(ms);
            node.health = Health.values()[1 + random.nextInt(Health.values().length - 1)];
            if (ms / 50 == configuredMs / 50) {
                node.configured();
            }
            if (ms / 50 == readMs / 50) {
                node.reports.savedReportRead(report(EndpointState.READY, 5, 1), 7);
            }
            if (ms / 50 == lateMs / 50) {
                IntStream.range(0, lateReports).forEach(i -> node.report(EndpointState.READY, 5, 10 + i));
            }
            node.pendingChecks.forEach(check -> check.completeExceptionally(new IllegalStateException("timeout")));
            node.pendingChecks.clear();
            assertTrue(!node.used(), "used after " + ms + " ms");
        }
    }
}

package org.mimosahinge.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.config.HaltMark;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.platform.StorePosition;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.BackendServer;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.LogicalTimestamp;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;

/** Guards against a move that is decided twice, and against calls to a version that was taken back. */
class MoveRegistryTest {

    private static final MoveOrder ORDER = new MoveOrder("shop", "v2", Duration.ofSeconds(15));

    private static StorePosition at(long version) {
        return new StorePosition(0, version);
    }

    @ParameterizedTest(
            name = "outcome {0} of version {1}, order at {2}, outcome at {3}, outcome first {4}: {5}, unpublished {6}")
    @CsvSource({
        "DONE, v2, 5, 9, true, DONE, false",
        "DONE, v2, 5, 9, false, DONE, false",
        "TAKEN_BACK, v2, 5, 9, true, TAKEN_BACK, false",
        "DONE, v1, 5, 9, true, RUNNING, true",
        "DONE, v2, 9, 5, true, RUNNING, true",
        "RUNNING, v2, 5, 9, true, RUNNING, false"
    })
    void publishedOutcomeIsAdoptedInAnyRowOrder(
            MovePhase phase,
            String version,
            long orderRevision,
            long outcomeRevision,
            boolean outcomeFirst,
            MovePhase expected,
            boolean unpublished) {
        MoveRegistry registry = new MoveRegistry(0);
        MoveOutcome outcome = new MoveOutcome("shop", version, phase, Set.of());
        if (outcomeFirst) {
            registry.applyOutcome(outcome, at(outcomeRevision), 1);
        }
        registry.addOrder(ORDER, at(orderRevision), 1);
        if (!outcomeFirst) {
            registry.applyOutcome(outcome, at(outcomeRevision), 1);
        }
        assertEquals(expected, registry.states().get("shop").phase());
        MoveRegistry.Move move = registry.moves().iterator().next();
        assertEquals(unpublished, move.unpublishedOutcome().isPresent());
        assertEquals(at(outcomeRevision), move.publishedRevision());
    }

    /** Rows as the platform holds them: the newest order and the newest published state. */
    private static final class Rows {
        private final MoveRegistry writer = new MoveRegistry(0);
        private long revision;
        private MoveOrder order;
        private StorePosition orderRevision;
        private MoveOutcome outcome;
        private StorePosition outcomeRevision;

        private void apply(String event) {
            String[] parts = event.split(":", -1);
            revision++;
            if (parts[0].equals("order")) {
                order = new MoveOrder("shop", parts[1], Duration.ofSeconds(15));
                orderRevision = at(revision);
                writer.addOrder(order, at(revision), 1);
            } else {
                outcome = writer.moves().iterator().next().outcome(MovePhase.valueOf(parts[0]));
                outcomeRevision = at(revision);
                writer.applyOutcome(outcome, at(revision), 1);
            }
        }

        private MoveRegistry late(boolean outcomeFirst) {
            MoveRegistry late = new MoveRegistry(0);
            if (outcomeFirst) {
                late.applyOutcome(outcome, outcomeRevision, 1);
            }
            late.addOrder(order, orderRevision, 1);
            if (!outcomeFirst) {
                late.applyOutcome(outcome, outcomeRevision, 1);
            }
            return late;
        }
    }

    private static Map<String, List<Endpoint>> endpoints(String... versions) {
        Node node = new Node(
                new NodeId("n"), 1, new AvailabilityZone("a", new Region("west")), new HostPort("127.0.0.1", 1));
        return Map.of(
                "shop",
                Stream.of(versions)
                        .map(version -> new Endpoint(
                                version,
                                new BackendServer("shop", version, node.address(), 1, 1, Set.of()),
                                node,
                                EndpointState.READY,
                                new LogicalTimestamp(1, 1)))
                        .toList());
    }

    private static String halted(MoveRegistry registry, Map<String, List<Endpoint>> endpoints, long nowNanos) {
        return registry.haltMarks(endpoints, nowNanos).stream()
                .map(HaltMark::version)
                .sorted()
                .collect(Collectors.joining(" "));
    }

    /** Review case 13: a version that was taken back got calls again once the next one was ordered. */
    @ParameterizedTest(name = "{0}: no calls for {1}")
    @CsvSource({
        "order:v2 RUNNING TAKEN_BACK order:v3, v2",
        "order:v2 RUNNING TAKEN_BACK order:v3 RUNNING, v2",
        "order:v2 TAKEN_BACK order:v3 RUNNING DONE, v2",
        "order:v2 TAKEN_BACK order:v3 TAKEN_BACK order:v4 RUNNING, v2 v3",
        "order:v2 RUNNING order:v3 RUNNING, v2",
        "order:v2 RUNNING order:v3 TAKEN_BACK order:v4, v2 v3",
        "order:v2 TAKEN_BACK order:v2 RUNNING, ''",
        "order:v2 TAKEN_BACK order:v2, ''",
        "order:v2 TAKEN_BACK order:v3 RUNNING order:v2 RUNNING, v3",
        "order:v2 TAKEN_BACK order:v2 DONE order:v3 RUNNING, ''",
        "order:v2 TAKEN_BACK order:v3 DONE order:v2 DONE order:v4 RUNNING, ''",
        "order:v2 DONE order:v3 RUNNING, ''"
    })
    void versionsTakenBackGetNoCalls(String history, String expected) {
        Rows rows = new Rows();
        Stream.of(history.split(" ", -1)).forEach(rows::apply);
        Map<String, List<Endpoint>> all = endpoints("v1", "v2", "v3", "v4");
        assertEquals(expected, halted(rows.writer, all, 2));
        if (rows.outcome != null) {
            // Nodes that start later, or reach the platform again, know only the newest rows.
            assertEquals(expected, halted(rows.late(true), all, 2));
            assertEquals(expected, halted(rows.late(false), all, 2));
        }
    }

    /** A node that was out of touch must not withhold a version that was ordered again and completed meanwhile. */
    @ParameterizedTest(name = "out of touch after {0}, then {1}: no calls for {2}")
    @CsvSource({
        "order:v2 TAKEN_BACK, order:v2 DONE order:v3 RUNNING, ''",
        "order:v2 TAKEN_BACK, order:v3 RUNNING, v2",
        "order:v2 RUNNING, DONE order:v3 RUNNING, ''",
        "order:v2 RUNNING, TAKEN_BACK order:v3 DONE order:v4 RUNNING, v2"
    })
    void nodeThatWasOutOfTouchAdoptsTheNewestRows(String before, String after, String expected) {
        Rows rows = new Rows();
        Stream.of(before.split(" ", -1)).forEach(rows::apply);
        MoveRegistry node = rows.late(false);
        Stream.of(after.split(" ", -1)).forEach(rows::apply);
        node.addOrder(rows.order, rows.orderRevision, 1);
        node.applyOutcome(rows.outcome, rows.outcomeRevision, 1);
        assertEquals(expected, halted(node, endpoints("v1", "v2", "v3", "v4"), 2));
    }

    /** The operator writes again what a store has lost that came back from an older copy; that is no new order. */
    @ParameterizedTest(name = "{0} at era.version {1}, then {2}: {3}")
    @CsvSource({
        "v2, 1.3, '', DONE",
        "v2, 1.9, '', DONE",
        "v2, 1.3, 1.9, RUNNING",
        "v2, 0.9, '', RUNNING",
        "v3, 1.3, '', RUNNING",
        "v2, 0.3, '', DONE"
    })
    void orderWrittenAgainKeepsItsState(String to, String first, String second, MovePhase expected) {
        MoveRegistry registry = new MoveRegistry(0);
        registry.addOrder(ORDER, at(5), 1);
        registry.applyOutcome(new MoveOutcome("shop", "v2", MovePhase.DONE, Set.of()), at(6), 1);
        for (String position : List.of(first, second)) {
            if (!position.isEmpty()) {
                String[] parts = position.split("\\.", -1);
                registry.addOrder(
                        new MoveOrder("shop", to, ORDER.duration()),
                        new StorePosition(Long.parseLong(parts[0]), Long.parseLong(parts[1])),
                        2);
            }
        }
        assertEquals(expected, registry.states().get("shop").phase());
        // The state stands after the order again, so that a node that starts takes it for the order's.
        boolean written = first.startsWith("1.") || expected == MovePhase.RUNNING;
        assertEquals(
                written, registry.moves().iterator().next().unpublishedOutcome().isPresent());
    }

    /** Without it, the operator reads an older state, and later states are written under a version that is gone. */
    @ParameterizedTest(name = "state in the copy: {0}")
    @CsvSource({"'', 0", "RUNNING, 2", "TAKEN_BACK, 3"})
    void publishedStateIsWrittenAgain(String copied, long version) {
        MoveRegistry registry = new MoveRegistry(0);
        registry.addOrder(ORDER, at(5), 1);
        registry.applyOutcome(new MoveOutcome("shop", "v2", MovePhase.TAKEN_BACK, Set.of("v0")), at(6), 1);
        registry.forgetPublished(2);
        if (!copied.isEmpty()) {
            MoveOutcome copy = new MoveOutcome("shop", "v2", MovePhase.valueOf(copied), Set.of());
            registry.applyOutcome(copy, new StorePosition(1, version), 3);
        }
        MoveRegistry.Move move = registry.moves().iterator().next();
        assertEquals(version, move.publishedRevision().version());
        assertEquals(MovePhase.TAKEN_BACK, registry.states().get("shop").phase());
        assertEquals(!copied.equals("TAKEN_BACK"), move.unpublishedOutcome().isPresent());
        assertEquals("v0", halted(registry, endpoints("v0", "v1", "v2"), 4));
    }

    @ParameterizedTest(name = "endpoint away for {0} s: still withheld {1}")
    @CsvSource({"5, true", "29, true", "31, false"})
    void versionIsForgottenWhenItsEndpointsAreGone(long seconds, boolean withheld) {
        Rows rows = new Rows();
        Stream.of("order:v2", "TAKEN_BACK", "order:v3", "RUNNING").forEach(rows::apply);
        assertEquals("v2", halted(rows.writer, endpoints("v1", "v2"), 1));
        long laterNanos = TimeUnit.SECONDS.toNanos(seconds) + 1;
        assertEquals(withheld ? "v2" : "", halted(rows.writer, endpoints("v1"), laterNanos));
        assertEquals(withheld ? "v2" : "", halted(rows.writer, endpoints("v1", "v2"), laterNanos + 1));
    }
}

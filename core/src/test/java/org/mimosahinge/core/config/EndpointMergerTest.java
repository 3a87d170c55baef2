package org.mimosahinge.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.LogicalTimestamp;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.core.Samples;

/** Guards against results that depend on the order of arrival and against endpoints that are revived by late states. */
class EndpointMergerTest {
    private static final NodeRemoval REMOVAL = new NodeRemoval(new NodeId("n1"), 2);

    @ParameterizedTest(name = "READY at ({0},{1}), then {2} at ({3},{4}): {5}")
    @CsvSource({
        "2, 5, DRAINING, 2, 6, DRAINING",
        "2, 5, DRAINING, 2, 4, READY",
        "2, 5, GONE, 2, 5, GONE",
        "2, 5, GONE, 1, 9, READY",
        "2, 5, STARTING, 3, 0, STARTING"
    })
    void latestTimestampWins(
            long incarnation, long sequence, EndpointState state, long laterIncarnation, long later, EndpointState is) {
        Endpoint first = Samples.endpoint("n1", EndpointState.READY, incarnation, sequence);
        Endpoint second = Samples.endpoint("n1", state, laterIncarnation, later);
        assertEquals(is, only(with(first, second)).state());
        assertEquals(is, only(with(second, first)).state());
    }

    @ParameterizedTest(name = "incarnation {0} after the removal of incarnation 2: {1}")
    @CsvSource({"1, GONE", "2, GONE", "3, READY"})
    void lateStateDoesNotReviveAFailedIncarnation(long incarnation, EndpointState is) {
        Snapshot removed =
                SnapshotBuilder.withNodeRemoved(with(Samples.endpoint("n1", EndpointState.READY, 2, 5)), REMOVAL);
        Endpoint late = Samples.endpoint("n1", EndpointState.READY, incarnation, 99);
        assertEquals(is, only(SnapshotBuilder.withEndpoint(removed, late)).state());
        assertSame(removed, SnapshotBuilder.withNodeRemoved(removed, REMOVAL));
    }

    @ParameterizedTest(name = "local {0} at ({1},7), received {2} at (2,9)")
    @CsvSource({"READY, 2, GONE, 3", "READY, 3, GONE, ", "GONE, 2, GONE, ", "READY, 2, DRAINING, "})
    void liveNodeRefutesItsRemoval(EndpointState local, long incarnation, EndpointState received, Long next) {
        Optional<LogicalTimestamp> expected = Optional.ofNullable(next).map(raised -> new LogicalTimestamp(raised, 0));
        assertEquals(
                expected,
                EndpointMerger.refutation(
                        Samples.endpoint("n1", local, incarnation, 7), Samples.endpoint("n1", received, 2, 9)));
    }

    @ParameterizedTest(name = "{0} is pruned: {1}")
    @CsvSource({"GONE, true", "READY, false", "DRAINING, false"})
    void onlyTombstonesArePruned(EndpointState state, boolean isPruned) {
        Endpoint endpoint = Samples.endpoint("n1", state, 2, 5);
        Snapshot pruned = SnapshotBuilder.withoutTombstones(with(endpoint), Set.of(endpoint.id()));
        assertEquals(isPruned, pruned.endpoints().isEmpty());
    }

    @Property(seed = "20261206", tries = 300)
    void mergedStatesAreIndependentOfTheOrderOfArrival(@ForAll long seed) {
        assertTrue(sameInAnyOrder(new Random(seed), SnapshotBuilder::withEndpoint));
    }

    @ParameterizedTest(name = "{0} is detected")
    @ValueSource(strings = "the last arrival wins")
    void orderDependentMergeIsDetected(String fault) {
        BiFunction<Snapshot, Endpoint, Snapshot> lastWins = (current, update) -> {
            Stream<Endpoint> others = current.endpoints().values().stream()
                    .flatMap(List::stream)
                    .filter(endpoint -> !endpoint.id().equals(update.id()));
            return with(Stream.concat(others, Stream.of(update)).toArray(Endpoint[]::new));
        };
        assertFalse(sameInAnyOrder(new Random(1), lastWins), fault);
    }

    private static boolean sameInAnyOrder(Random random, BiFunction<Snapshot, Endpoint, Snapshot> merge) {
        List<Endpoint> updates = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            EndpointState state = EndpointState.values()[random.nextInt(4)];
            updates.add(Samples.endpoint("n" + random.nextInt(4), state, random.nextInt(3), i));
        }
        updates.addAll(
                EndpointMerger.tombstones(with(updates.toArray(Endpoint[]::new)).endpoints(), REMOVAL));
        Snapshot expected = with(updates.toArray(Endpoint[]::new));
        Collections.shuffle(updates, random);
        updates.addAll(List.copyOf(updates.subList(0, 10)));
        Snapshot result = Snapshot.EMPTY;
        for (Endpoint update : updates) {
            result = merge.apply(result, update);
        }
        return expected.equals(result);
    }

    private static Snapshot with(Endpoint... endpoints) {
        return SnapshotBuilder.withEndpoints(Snapshot.EMPTY, List.of(endpoints));
    }

    private static Endpoint only(Snapshot snapshot) {
        return snapshot.endpoints().get("listings").get(0);
    }
}

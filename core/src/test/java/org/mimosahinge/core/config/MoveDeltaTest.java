package org.mimosahinge.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosahinge.api.config.ConfigUpdate;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.config.RevisedSection;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.contract.ServiceLimits;

/** Guards against updates that grow with the number of moves instead of the number of changes. */
class MoveDeltaTest {

    private static Snapshot snapshot(long version, int services, Map<Integer, Integer> shares) {
        SortedMap<String, RevisedSection> sections = new TreeMap<>();
        SortedMap<String, MoveState> moves = new TreeMap<>();
        IntStream.range(0, services).forEach(i -> {
            String name = "service-" + i;
            Service service = new Service(name, List.of("v1", "v2"), "v1", Optional.empty(), ServiceLimits.DEFAULT);
            sections.put(name, new RevisedSection(1, new Section(name, Set.of(), List.of(service), List.of())));
            if (shares.containsKey(i)) {
                moves.put(
                        name, new MoveState(name, "v1", "v2", 1, shares.get(i), MovePhase.RUNNING, "", Instant.EPOCH));
            }
        });
        return SnapshotBuilder.apply(Snapshot.EMPTY, new ConfigUpdate(0, version, sections, Set.of(), moves, Set.of()));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 20, 130})
    void deltaContainsOnlyTheChangedMove(int services) {
        Map<Integer, Integer> before = new TreeMap<>();
        IntStream.range(0, services).forEach(i -> before.put(i, 20));
        Map<Integer, Integer> after = new TreeMap<>(before);
        after.put(0, 100);
        Snapshot from = snapshot(1, services, before);
        Snapshot to = snapshot(2, services, after);
        ConfigUpdate update = UpdateBuilder.delta(from, to);
        assertEquals(1, update.moves().size());
        assertEquals(to, SnapshotBuilder.apply(from, update));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void deltaRemovesMovesThatNoLongerExist(int services) {
        Snapshot from = snapshot(1, services, Map.of(0, 20));
        Snapshot to = snapshot(2, services, Map.of());
        assertEquals(to, SnapshotBuilder.apply(from, UpdateBuilder.delta(from, to)));
    }
}

package org.mimosahinge.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.api.config.ConfigUpdate;
import org.mimosahinge.api.config.HaltMark;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.Limits;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.error.UpdateRejectedException;

/** Guards against updates that are applied out of order or in part. */
class SnapshotBuilderTest {
    private static final Snapshot AT_FIVE = Samples.snapshot(5, Samples.section("listings", "listings"));

    @ParameterizedTest(name = "base {0} version {1} is {2}")
    @CsvSource({"5, 6, NEXT", "5, 9, NEXT", "0, 7, NEXT", "4, 6, GAP", "6, 7, GAP", "0, 5, STALE", "4, 5, STALE"})
    void onlyALaterVersionOnTheSameBaseApplies(long base, long version, SnapshotBuilder.Fit fit) {
        ConfigUpdate update =
                Samples.update(base, version, Samples.revised(6, Samples.section("listings", "listings")));
        assertEquals(fit, SnapshotBuilder.fit(AT_FIVE, update));
        if (fit == SnapshotBuilder.Fit.NEXT) {
            assertEquals(version, SnapshotBuilder.apply(AT_FIVE, update).version());
        } else {
            assertThrows(UpdateRejectedException.class, () -> SnapshotBuilder.apply(AT_FIVE, update));
        }
    }

    static Stream<Arguments> openReferences() {
        Service noCurrent = new Service("ledger", List.of("v1"), "v3", Optional.empty(), Limits.DEFAULT);
        return Stream.of(
                Arguments.of("unknown service \"ledger\"", withRoute(Samples.route("/ledger", "ledger"))),
                Arguments.of("unknown resource \"tariff\"", withRoute(Samples.route("/l", "listings", "tariff"))),
                Arguments.of("no version \"v3\"", new Section("ledger", Set.of(), List.of(noCurrent), List.of())),
                Arguments.of(
                        "no version \"v9\"",
                        new Section("ledger", Set.of(), List.of(Samples.moving("ledger", "v9")), List.of())),
                Arguments.of(
                        "defined by two",
                        new Section("ledger", Set.of(), List.of(Samples.service("listings")), List.of())));
    }

    private static Section withRoute(Route route) {
        return new Section("ledger", Set.of(), List.of(), List.of(route));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("openReferences")
    void aReferenceThatTheNodeLacksRefusesTheWholeUpdate(String message, Section section) {
        ConfigUpdate update = Samples.update(5, 6, Samples.revised(1, section));
        Exception refused = assertThrows(UpdateRejectedException.class, () -> SnapshotBuilder.apply(AT_FIVE, update));
        assertTrue(refused.getMessage().contains(message), refused.getMessage());
    }

    @ParameterizedTest(name = "{0} move to v9 applies: {1}")
    @CsvSource({"PLANNED, false", "RUNNING, false", "DONE, true", "TAKEN_BACK, true", "CANCELLED, true"})
    void anActiveMoveNeedsItsVersions(MovePhase phase, boolean applies) {
        TreeMap<String, MoveState> moves = new TreeMap<>();
        moves.put("listings", new MoveState("listings", "v1", "v9", 5, 0, phase, "", Samples.NOON));
        ConfigUpdate update = new ConfigUpdate(5, 6, new TreeMap<>(), Set.of(), moves);
        if (applies) {
            assertEquals(moves, SnapshotBuilder.apply(AT_FIVE, update).moves());
        } else {
            assertThrows(UpdateRejectedException.class, () -> SnapshotBuilder.apply(AT_FIVE, update));
        }
    }

    @ParameterizedTest(name = "mark of revision {0} survives: {1}")
    @CsvSource({"5, false", "6, true", "7, true"})
    void onlyANewerSectionRevisionClearsAHaltMark(long revision, boolean kept) {
        HaltMark mark = new HaltMark("listings", "v2", revision);
        Snapshot marked = SnapshotBuilder.withHalt(AT_FIVE, mark);
        assertEquals(Set.of(mark), marked.halts());
        Snapshot later = SnapshotBuilder.apply(
                marked, Samples.update(5, 6, Samples.revised(6, Samples.section("listings", "listings"))));
        assertEquals(kept, later.halts().contains(mark));
        assertEquals(kept, SnapshotBuilder.withHalt(later, mark).halts().contains(mark));
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({"a, b, c", "c, b, a"})
    void theLongestPrefixComesFirst(String first, String second, String third) {
        Section section = new Section(
                "listings",
                Set.of(),
                List.of(Samples.service("listings")),
                Stream.of(first, second, third)
                        .map(name -> Samples.route("/x".repeat(name.charAt(0) - 'a' + 1), "listings"))
                        .toList());
        assertEquals(
                List.of("/x/x/x", "/x/x", "/x"),
                Samples.snapshot(1, section).routes().stream()
                        .map(Route::pathPrefix)
                        .toList());
    }

    @ParameterizedTest(name = "widen to version {0} with listings: {1}")
    @CsvSource({"5, true, true", "5, false, false", "6, true, false", "4, true, false"})
    void wideningNeitherChangesTheVersionNorTakesSectionsAway(long version, boolean listings, boolean applies) {
        Section ledger = Samples.section("ledger", "ledger");
        ConfigUpdate update = Samples.update(
                0,
                version,
                listings
                        ? Samples.revised(5, Samples.section("listings", "listings"), ledger)
                        : Samples.revised(5, ledger));
        if (applies) {
            Snapshot wide = SnapshotBuilder.widen(AT_FIVE, update);
            assertEquals(Set.of("ledger", "listings"), wide.sections().keySet());
            assertEquals(5, wide.version());
        } else {
            assertThrows(UpdateRejectedException.class, () -> SnapshotBuilder.widen(AT_FIVE, update));
        }
    }
}

package org.mimosahinge.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosahinge.api.config.ConfigUpdate;
import org.mimosahinge.api.config.HaltMark;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.Organisation;
import org.mimosahinge.api.contract.Quota;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.contract.ServiceLimits;
import org.mimosahinge.api.error.UpdateRejectedException;
import org.mimosahinge.api.platform.ObjectHash;
import org.mimosahinge.core.Samples;

/** Guards against updates that are applied out of order or partially. */
class SnapshotBuilderTest {
    private static final Section LISTINGS = Samples.section("listings", "listings");
    private static final Snapshot VERSION_5 = Samples.snapshot(5, LISTINGS);

    @ParameterizedTest(name = "base {0} version {1} is {2}")
    @CsvSource({"5, 6, NEXT", "5, 9, NEXT", "0, 7, NEXT", "4, 6, GAP", "6, 7, GAP", "0, 5, STALE", "4, 5, STALE"})
    void onlyALaterVersionWithAMatchingBaseApplies(long base, long version, SnapshotBuilder.Fit fit) {
        ConfigUpdate update = Samples.update(base, version, Samples.revisedSections(6, LISTINGS));
        assertEquals(fit, SnapshotBuilder.fit(VERSION_5, update));
        assertEquals(fit == SnapshotBuilder.Fit.NEXT, applies(SnapshotBuilder::apply, update, version));
    }

    static Stream<Arguments> openReferences() {
        Service noCurrent = new Service("ledger", List.of("v1"), "v3", Optional.empty(), ServiceLimits.DEFAULT);
        return Stream.of(
                Arguments.of("unknown service \"ledger\"", withRoute(Samples.route("/ledger", "ledger"))),
                Arguments.of("unknown resource \"tariff\"", withRoute(Samples.route("/l", "listings", "tariff"))),
                Arguments.of("no version \"v3\"", new Section("ledger", Set.of(), List.of(noCurrent), List.of())),
                Arguments.of(
                        "no version \"v9\"",
                        new Section("ledger", Set.of(), List.of(Samples.serviceWithMove("ledger", "v9")), List.of())),
                Arguments.of(
                        "defined by two",
                        new Section("ledger", Set.of(), List.of(Samples.service("listings")), List.of())),
                Arguments.of("have the same API key", withOrganisations(organisation("a", 1), organisation("b", 1))),
                Arguments.of("is defined twice", withOrganisations(organisation("a", 1), organisation("a", 2))));
    }

    private static Section withOrganisations(Organisation... organisations) {
        return new Section("ledger", Set.of(), List.of(), List.of(), List.of(organisations));
    }

    private static Organisation organisation(String name, int key) {
        return new Organisation(
                name, Set.of(ObjectHash.of("key-" + key).hex()), Optional.empty(), Quota.UNLIMITED, Set.of());
    }

    /**
     * Guards against nodes that lose the organisations when an endpoint changes, or that let callers in without a key
     * because their interest leaves out the section with the organisations.
     */
    @ParameterizedTest(name = "interest in {0}")
    @ValueSource(strings = {"", "listings"})
    void organisationsAreKnownOnEveryNode(String service) {
        Section section = withOrganisations(organisation("a", 1));
        Interest interest = new Interest(service.isEmpty() ? Set.of() : Set.of(service));
        Snapshot parent = SnapshotBuilder.apply(VERSION_5, Samples.update(5, 6, Samples.revisedSections(1, section)));
        Snapshot child = SnapshotBuilder.apply(Snapshot.EMPTY, UpdateBuilder.fullState(parent, interest));
        Snapshot later = SnapshotBuilder.withProvenCurrent(child, !child.provenCurrent());
        assertTrue(later.rules().organisations().withKey("key-1").isPresent());
    }

    private static Section withRoute(Route route) {
        return new Section("ledger", Set.of(), List.of(), List.of(route));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("openReferences")
    void unresolvedReferenceRejectsTheWholeUpdate(String message, Section section) {
        ConfigUpdate update = Samples.update(5, 6, Samples.revisedSections(1, section));
        Exception rejection =
                assertThrows(UpdateRejectedException.class, () -> SnapshotBuilder.apply(VERSION_5, update));
        assertTrue(rejection.getMessage().contains(message), rejection.getMessage());
    }

    @ParameterizedTest(name = "{0} move to v9 applies: {1}")
    @CsvSource({"PLANNED, false", "RUNNING, false", "DONE, true", "TAKEN_BACK, true", "CANCELLED, true"})
    void activeMoveRequiresItsVersions(MovePhase phase, boolean applies) {
        TreeMap<String, MoveState> moves = new TreeMap<>();
        moves.put("listings", new MoveState("listings", "v1", "v9", 5, 0, phase, "", Samples.NOON));
        ConfigUpdate update = new ConfigUpdate(5, 6, new TreeMap<>(), Set.of(), moves, Set.of());
        assertEquals(applies, applies(SnapshotBuilder::apply, update, 6));
    }

    @ParameterizedTest(name = "mark of revision {0} is retained: {1}")
    @CsvSource({"5, false", "6, true", "7, true"})
    void onlyANewerSectionRevisionClearsAHaltMark(long revision, boolean retained) {
        HaltMark mark = new HaltMark("listings", "v2", revision);
        Snapshot marked = SnapshotBuilder.withHaltMark(VERSION_5, mark);
        assertEquals(Set.of(mark), marked.haltMarks());
        Snapshot later = SnapshotBuilder.apply(marked, Samples.update(5, 6, Samples.revisedSections(6, LISTINGS)));
        assertEquals(retained, later.haltMarks().contains(mark));
        assertEquals(
                retained, SnapshotBuilder.withHaltMark(later, mark).haltMarks().contains(mark));
    }

    @ParameterizedTest(name = "{0} is sorted as {1}")
    @CsvSource({"/a /bcd /bc, /bcd /bc /a", "/bcd /bc /a, /bcd /bc /a", "/b /a, /a /b"})
    void routesAreSortedByLongestPrefix(String given, String sorted) {
        List<Route> routes = Stream.of(given.split(" "))
                .map(prefix -> Samples.route(prefix, "listings"))
                .toList();
        Section section = new Section("listings", Set.of(), List.of(Samples.service("listings")), routes);
        Stream<String> prefixes = Samples.snapshot(1, section).routes().stream().map(Route::pathPrefix);
        assertEquals(sorted, prefixes.collect(Collectors.joining(" ")));
    }

    @ParameterizedTest(name = "sections of version {0}, with listings {1}: applied {2}")
    @CsvSource({"5, true, true", "5, false, false", "6, true, false", "4, true, false"})
    void addingSectionsKeepsTheVersionAndTheSections(long version, boolean listings, boolean applies) {
        Section ledger = Samples.section("ledger", "ledger");
        Section[] sections = listings ? new Section[] {LISTINGS, ledger} : new Section[] {ledger};
        ConfigUpdate update = Samples.update(0, version, Samples.revisedSections(5, sections));
        assertEquals(applies, applies(SnapshotBuilder::addSections, update, 5));
    }

    private static boolean applies(
            BiFunction<Snapshot, ConfigUpdate, Snapshot> change, ConfigUpdate update, long version) {
        try {
            Snapshot next = change.apply(VERSION_5, update);
            assertEquals(version, next.version());
            assertTrue(next.sections().keySet().containsAll(update.sections().keySet()));
            assertEquals(update.moves(), next.moves());
            return true;
        } catch (UpdateRejectedException e) {
            return false;
        }
    }
}

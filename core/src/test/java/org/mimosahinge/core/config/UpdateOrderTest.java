package org.mimosahinge.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.api.config.ConfigUpdate;
import org.mimosahinge.api.config.RevisedSection;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.core.Samples;

/** Guards against reordered, repeated or lost updates and against unresolved references in a subset of the sections. */
class UpdateOrderTest {
    private static final List<String> TEAMS = List.of("archive", "calendar", "ledger", "listings", "storefront");

    /** How a node handles an update that it receives. */
    private interface Receiver {
        Snapshot receive(Snapshot current, ConfigUpdate update);
    }

    private static final Receiver NODE =
            (current, update) -> SnapshotBuilder.fit(current, update) == SnapshotBuilder.Fit.NEXT
                    ? SnapshotBuilder.apply(current, update)
                    : current;

    @Property(seed = "20261204", tries = 300)
    void updatesInAnyOrderYieldAnAcceptedVersion(@ForAll long seed, @ForAll @IntRange(min = 1, max = 8) int versions) {
        deliver(NODE, new Random(seed), versions);
    }

    static Stream<Arguments> receivers() {
        Receiver withoutBase = (current, update) -> SnapshotBuilder.fit(current, update) == SnapshotBuilder.Fit.STALE
                ? current
                : SnapshotBuilder.apply(
                        current,
                        new ConfigUpdate(
                                update.isFullState() ? 0 : current.version(),
                                update.version(),
                                update.sections(),
                                update.removedTeams(),
                                update.moves(),
                                update.removedMoves()));
        Receiver latestArrival = (current, update) ->
                update.isFullState() ? SnapshotBuilder.apply(Snapshot.EMPTY, update) : NODE.receive(current, update);
        Receiver keepsRemoved = (current, update) -> NODE.receive(
                current,
                new ConfigUpdate(
                        update.baseVersion(), update.version(), update.sections(), Set.of(), update.moves(), Set.of()));
        return Stream.of(
                Arguments.of("no base check", withoutBase),
                Arguments.of("no version check on full state", latestArrival),
                Arguments.of("removed sections are retained", keepsRemoved));
    }

    @ParameterizedTest(name = "{0} is detected")
    @MethodSource("receivers")
    void faultyReceiverIsDetected(String fault, Receiver receiver) {
        assertThrows(
                Throwable.class,
                () -> IntStream.range(0, 100).forEach(seed -> deliver(receiver, new Random(seed), 6)),
                fault);
    }

    private static void deliver(Receiver receiver, Random random, int versions) {
        List<Snapshot> history = history(random, versions);
        Interest interest = interest(random);
        Snapshot current = Snapshot.EMPTY;
        for (int step = 0; step < 6 * versions; step++) {
            Snapshot to = history.get(1 + random.nextInt(versions));
            Snapshot from = history.get(random.nextInt((int) to.version()));
            Snapshot next = receiver.receive(current, UpdateBuilder.delta(from, to, interest));
            assertTrue(next.version() >= current.version(), "the version decreased");
            assertEquals(interest.select(history.get((int) next.version()).sections()), next.sections());
            current = next;
        }
        Snapshot last = history.get(versions);
        if (current.version() < versions) {
            current = receiver.receive(current, UpdateBuilder.fullState(last, interest));
        }
        assertEquals(interest.select(last.sections()), current.sections());
    }

    @Property(seed = "20261205", tries = 300)
    void selectionIsClosedAndContainsEveryRouteOfInterest(@ForAll long seed) {
        Random random = new Random(seed);
        Snapshot whole = history(random, 3).get(3);
        Interest interest = interest(random);
        Snapshot subset = SnapshotBuilder.apply(Snapshot.EMPTY, UpdateBuilder.fullState(whole, interest));
        assertEquals(whole.version(), subset.version());
        Predicate<Route> wanted = route -> interest.services().contains(route.firstService());
        assertEquals(
                whole.routes().stream().filter(wanted).toList(),
                subset.routes().stream().filter(wanted).toList());
        // A parent that holds the union of the interests selects the same sections for its child as from the whole.
        Snapshot parent =
                SnapshotBuilder.apply(Snapshot.EMPTY, UpdateBuilder.fullState(whole, interest.union(interest(random))));
        assertEquals(subset.sections(), interest.select(parent.sections()));
    }

    private static Interest interest(Random random) {
        List<String> some =
                TEAMS.stream().filter(team -> random.nextInt(3) == 0).toList();
        return new Interest(Set.copyOf(some));
    }

    /** Returns versions 0 to n; each adds, changes or removes one section and has no unresolved reference. */
    private static List<Snapshot> history(Random random, int versions) {
        List<Snapshot> history = new ArrayList<>(List.of(Snapshot.EMPTY));
        SortedMap<String, RevisedSection> sections = new TreeMap<>();
        while (history.size() <= versions) {
            SortedMap<String, RevisedSection> next = new TreeMap<>(sections);
            String team = TEAMS.get(random.nextInt(TEAMS.size()));
            String[] targets = TEAMS.stream()
                    .filter(other -> other.equals(team) || (next.containsKey(other) && random.nextBoolean()))
                    .toArray(String[]::new);
            if (next.containsKey(team) && random.nextInt(3) == 0) {
                next.remove(team);
            } else {
                next.put(team, new RevisedSection(history.size(), Samples.section(team, targets)));
            }
            List<Section> contents =
                    next.values().stream().map(RevisedSection::section).toList();
            if (ReferenceChecker.unresolved(contents, List.of()).isEmpty()) {
                sections = next;
                history.add(SnapshotBuilder.apply(Snapshot.EMPTY, Samples.update(0, history.size(), next)));
            }
        }
        return history;
    }
}

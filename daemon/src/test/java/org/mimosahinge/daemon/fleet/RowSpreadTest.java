package org.mimosahinge.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.mimosahinge.core.fanout.RowSourcePolicy;

/** Guards against versions that reach some nodes late, and against reads of the platform that grow with the fleet. */
class RowSpreadTest {

    /** Within this time a change must be in force on the users' deployments. */
    private static final long IN_FORCE_MS = 2_000;

    /** Time by which the bound grows while the platform turns nodes away. */
    private static final long STRETCH_MS = 5_000;

    /** Bytes that a node may spend on control in a second. */
    private static final long CONTROL_BYTES_PER_S = 3_000;

    /** Changes of the configuration in a second at the target, 22,000 a day. */
    private static final double CHANGES_PER_S = 22_000 / 86_400.0;

    private static final int CHANGES = 10;

    private static RowSpreadModel started(int nodes, int regions, long seed) {
        RowSpreadModel fleet = new RowSpreadModel(
                RowSourcePolicy.regionTree(
                        RowSourcePolicy.READERS_PER_REGION, RowSourcePolicy.CHILDREN_PER_PARENT_PAIR),
                nodes,
                regions,
                seed);
        fleet.run(3_000);
        assertEquals(0, fleet.lagging());
        return fleet;
    }

    @ParameterizedTest(name = "{0} nodes in {1} regions")
    @CsvSource({"14, 2", "30, 2", "64, 2", "300, 4", "1200, 4"})
    void aChangeIsReadByFewNodesAndReachesAllInTime(int nodes, int regions) {
        RowSpreadModel fleet = started(nodes, regions, nodes);
        fleet.storeRowsAnswered = 0;
        fleet.sent.clear();
        for (int i = 0; i < CHANGES; i++) {
            fleet.change();
            fleet.run(IN_FORCE_MS);
            assertEquals(0, fleet.lagging());
        }
        assertTrue(
                fleet.storeRowsAnswered <= (long) CHANGES * RowSourcePolicy.READERS_PER_REGION * regions,
                "answers with rows: " + fleet.storeRowsAnswered);
        long most = Collections.max(fleet.sent.values()) / CHANGES;
        assertTrue(most * CHANGES_PER_S <= CONTROL_BYTES_PER_S, "bytes sent for a change: " + most);
    }

    @ParameterizedTest(name = "{0} ms between {1} changes, {2} of the frames lost, seed {3}")
    @CsvSource({"50, 20, 0, 1", "230, 22, 0, 2", "230, 22, 0.05, 3", "230, 22, 0.3, 4"})
    void theLastOfASeriesIsInForceInTime(long gapMs, int changes, double lost, long seed) {
        RowSpreadModel fleet = started(64, 2, seed);
        fleet.lose(lost);
        for (int i = 0; i < changes; i++) {
            fleet.change();
            fleet.run(gapMs);
        }
        fleet.lose(0);
        fleet.run(IN_FORCE_MS);
        assertEquals(0, fleet.lagging());
    }

    /** What happens to readers before a change. */
    enum Trouble {
        READERS_OF_A_REGION_TURNED_AWAY(fleet -> fleet.turnAway(fleet.readers("r1"))),
        ALL_READERS_TURNED_AWAY(fleet -> fleet.turnAway(fleet.readers(""))),
        ONE_READER_OF_EACH_REGION_FROZEN(fleet -> fleet.freeze(
                List.of(fleet.readers("r0").get(0), fleet.readers("r1").get(0)))),
        READERS_KILLED(fleet -> fleet.kill(fleet.readers(""))),
        PLATFORM_DOWN_BEFORE(fleet -> {
            fleet.platformDown(true);
            fleet.run(4_500);
            fleet.platformDown(false);
        });

        private final Consumer<RowSpreadModel> cause;

        Trouble(Consumer<RowSpreadModel> cause) {
            this.cause = cause;
        }
    }

    @ParameterizedTest(name = "{0}")
    @EnumSource(Trouble.class)
    void aChangeReachesAllNodesInTimeWhateverHappensToReaders(Trouble trouble) {
        RowSpreadModel fleet = started(64, 2, trouble.ordinal());
        trouble.cause.accept(fleet);
        fleet.change();
        fleet.run(IN_FORCE_MS);
        assertEquals(0, fleet.lagging());
    }

    /** Guards against a parent that was asked for a while before it became one, and is forgotten after that while. */
    @ParameterizedTest(name = "seed {0}")
    @CsvSource({"1", "2", "3"})
    void nodesTakeRowsFromTheirParentsAgainAfterAnAbsenceAndALostReader(long seed) {
        RowSpreadModel fleet = started(64, 2, seed);
        fleet.platformDown(true);
        fleet.run(3_000);
        fleet.kill(List.of(fleet.readers("r0").get(0), fleet.readers("r1").get(0)));
        fleet.run(1_000);
        fleet.platformDown(false);
        fleet.run(2 * STRETCH_MS);
        fleet.storeRowsAnswered = 0;
        fleet.change();
        fleet.run(IN_FORCE_MS);
        assertEquals(0, fleet.lagging());
        assertEquals(2 * RowSourcePolicy.READERS_PER_REGION, fleet.storeRowsAnswered, "answers with rows");
    }

    /** Guards against rows that end at a node from which no other one takes them. */
    @ParameterizedTest(name = "all but node {0} turned away")
    @CsvSource({"0", "13", "37", "63"})
    void theOnlyNodeThatThePlatformServesPassesRowsOn(int served) {
        RowSpreadModel fleet = started(64, 2, served);
        fleet.turnAway(fleet.members.values().stream()
                .filter(member -> !member.node.id().value().equals("node-" + served))
                .toList());
        for (int i = 0; i < CHANGES; i++) {
            fleet.change();
            fleet.run(IN_FORCE_MS + STRETCH_MS);
            assertEquals(0, fleet.lagging());
        }
    }

    /** Guards against a node that is asked for changes of a row whose base the asker has lost with its process. */
    @ParameterizedTest(name = "{0} of 64 nodes restart while the platform turns them away")
    @CsvSource({"1", "20", "40"})
    void aRestartedNodeIsGivenWholeRows(int count) {
        RowSpreadModel fleet = started(64, 2, count);
        List<RowSpreadModel.Member> restarted =
                fleet.members.values().stream().limit(count).toList();
        fleet.turnAway(restarted);
        fleet.kill(restarted);
        fleet.run(500);
        fleet.start(restarted);
        fleet.run(IN_FORCE_MS);
        assertEquals(0, fleet.lagging());
    }

    /** Guards against a short absence of the platform that makes every node read the same rows from it. */
    @ParameterizedTest(name = "platform away for {0} ms")
    @CsvSource({"1000", "2500", "4500"})
    void aChangeIsReadByFewNodesWhenThePlatformReturns(int awayMs) {
        RowSpreadModel fleet = started(64, 2, awayMs);
        fleet.platformDown(true);
        fleet.run(awayMs);
        fleet.change();
        fleet.storeRowsAnswered = 0;
        fleet.platformDown(false);
        fleet.run(IN_FORCE_MS);
        assertEquals(0, fleet.lagging());
        // At most a quarter of the fleet; without the absence four nodes read a change.
        assertTrue(fleet.storeRowsAnswered <= 16, "answers with rows: " + fleet.storeRowsAnswered);
    }

    /** Guards against rows that a node already holds and reads again when its parents fall silent. */
    @ParameterizedTest(name = "platform away for {0} ms")
    @CsvSource({"2500", "4500"})
    void nodesThatHoldTheNewestRowsReadNoneWhenThePlatformReturns(int awayMs) {
        RowSpreadModel fleet = started(64, 2, awayMs);
        fleet.change();
        fleet.run(IN_FORCE_MS);
        assertEquals(0, fleet.lagging());
        fleet.platformDown(true);
        fleet.run(awayMs);
        fleet.storeRowsAnswered = 0;
        fleet.platformDown(false);
        fleet.run(IN_FORCE_MS);
        assertEquals(0, fleet.storeRowsAnswered, "answers with rows although nothing has changed");
    }

    /** Guards against nodes that believe a silent pair of parents for longer than a change may take. */
    @ParameterizedTest(name = "change {0} ms after the readers of a region froze")
    @CsvSource({"0", "100", "200", "300", "400", "600"})
    void aChangeReachesAllNodesInTimeWhenBothReadersOfARegionFreeze(int beforeMs) {
        RowSpreadModel fleet = started(64, 2, 7 + beforeMs);
        fleet.freeze(fleet.readers("r1"));
        fleet.run(beforeMs);
        fleet.change();
        fleet.run(IN_FORCE_MS);
        assertEquals(0, fleet.lagging());
    }

    /** Guards against reads by all nodes that keep the link between regions full, so that they never end. */
    @ParameterizedTest(name = "platform away for {0} ms, answers wait {1} ms behind calls")
    @CsvSource({"0, 0", "2500, 0", "0, 600", "0, 900"})
    void aSeriesIsInForceInTimeOverANarrowLink(int awayMs, int queueMs) {
        RowSpreadModel fleet = started(64, 2, awayMs + queueMs);
        // 32 answers take the link between the regions 1.5 s, as on the day of the incident.
        fleet.link(47, queueMs);
        fleet.platformDown(awayMs > 0);
        fleet.run(awayMs);
        fleet.platformDown(false);
        fleet.storeRowsAnswered = 0;
        for (int i = 0; i < CHANGES; i++) {
            fleet.change();
            fleet.run(230);
        }
        fleet.run(IN_FORCE_MS);
        String seen = "nodes behind: " + fleet.lagging() + ", answers with rows: " + fleet.storeRowsAnswered;
        assertTrue(
                fleet.lagging() == 0
                        && fleet.storeRowsAnswered <= 2L * CHANGES * RowSourcePolicy.READERS_PER_REGION * 2,
                seen);
    }
}

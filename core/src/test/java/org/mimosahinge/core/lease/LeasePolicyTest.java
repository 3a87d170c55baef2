package org.mimosahinge.core.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.core.Samples;

/** Guards against two holders of one lease and against writes by a holder that was paused beyond its lease. */
class LeasePolicyTest {
    private static final String KEY = "lease/gateway/ch-west";
    private static final HeldLease HELD = new HeldLease(KEY, 9, 3, 0, TimeUnit.MILLISECONDS.toNanos(2_700));

    @ParameterizedTest(name = "holder {0}, unchanged for {1} ms, resigning {2}: {3}")
    @CsvSource({
        "'', 0, false, Acquire",
        "'', 0, true, Await",
        "n2, 2999, false, Await",
        "n2, 3000, false, Acquire",
        "n2, 9000, true, Await",
        "n1, 2999, false, Await"
    })
    void candidateWaitsForTheWholeTimeToLive(String holder, long unchangedMs, boolean resigning, String action) {
        LeaseAction decided =
                LeasePolicy.decide(view(LeaseState.initial(row(9, holder, 4, 3), 0), unchangedMs, resigning));
        assertEquals(action, decided.getClass().getSimpleName());
        if (decided instanceof LeaseAction.Acquire acquire) {
            assertEquals(row(9, "n1", 5, 4), acquire.row());
        }
    }

    @ParameterizedTest(name = "row {0} of {1} epoch {2}, {3} ms after the write, resigning {4}: {5}")
    @CsvSource({
        "9, n1, 3, 999, false, Await",
        "9, n1, 3, 1000, false, Renew",
        "9, n1, 3, 2699, false, Renew",
        "9, n1, 3, 2700, false, GiveUp",
        "9, n1, 3, 999, true, Release",
        "10, n2, 4, 999, false, GiveUp",
        "10, '', 3, 999, false, GiveUp",
        "10, n1, 4, 999, false, GiveUp"
    })
    void holderRenewsAndGivesUpBeforeATakeover(
            long revision, String holder, long epoch, long elapsedMs, boolean resigning, String action) {
        LeaseObservation observed = new LeaseObservation(row(revision, holder, 5, epoch), 0);
        LeaseState state = new LeaseState(observed, Optional.of(HELD), Optional.empty());
        LeaseAction decided = LeasePolicy.decide(view(state, elapsedMs, resigning));
        assertEquals(action, decided.getClass().getSimpleName());
        if (decided instanceof LeaseAction.Release release) {
            assertEquals(row(9, "", 0, 3), release.row());
        }
    }

    @ParameterizedTest(name = "row {0} of {1} incarnation {2} epoch {3}: valid until {4} ms, settled {5}")
    @CsvSource({
        "10, n1, 5, 3, 3200, true",
        "9, n1, 5, 3, 2700, false",
        "10, n1, 4, 3, 2700, true",
        "10, n1, 5, 4, 2700, true",
        "10, n2, 5, 4, 2700, true"
    })
    void readingTheRowConfirmsOnlyAWriteThatTookEffect(
            long revision, String holder, long incarnation, long epoch, long validUntilMs, boolean settled) {
        Revisioned<LeaseRow> before = row(9, "n1", 5, 3);
        LeaseState sent = new LeaseState(new LeaseObservation(before, 0), Optional.of(HELD), Optional.empty())
                .afterSending(before, TimeUnit.MILLISECONDS.toNanos(500))
                // The first attempt may be the one that takes effect, so the retry must not extend the lease.
                .afterSending(before, TimeUnit.MILLISECONDS.toNanos(900));
        LeaseState after = LeasePolicy.observe(view(sent, 950, false), row(revision, holder, incarnation, epoch));
        assertEquals(
                TimeUnit.MILLISECONDS.toNanos(validUntilMs),
                after.held().orElseThrow().validUntilNanos());
        assertEquals(settled, after.attempt().isEmpty());
    }

    @ParameterizedTest(name = "rank {0}, without a parent for {1} ms: reads {2}")
    @CsvSource({
        "0, , false",
        "1, , true",
        "4, , true",
        "5, , false",
        "5, 2999, false",
        "5, 3000, true",
        "299, 3000, true"
    })
    void onlyLowRanksAndOrphansReadTheLeaseRow(int rank, Long orphanedMs, boolean reads) {
        OptionalLong orphaned = orphanedMs == null ? OptionalLong.empty() : OptionalLong.of(orphanedMs);
        assertEquals(reads, LeaseCandidacy.readsLeaseRow(rank, orphaned));
    }

    @Property(seed = "20261207", tries = 100)
    void atMostOneNodeActsDespitePausesClockDriftAndLostResponses(@ForAll long seed) {
        LeaseSimulation.Outcome outcome =
                new LeaseSimulation(new Random(seed), LeasePolicy::decide, LeaseTiming.DEFAULT).run(120_000);
        assertEquals(0, outcome.overlaps());
        assertEquals(0, outcome.unfencedWrites());
        assertTrue(outcome.acquisitions() > 0, "no node ever held the lease");
    }

    static Stream<Arguments> faults() {
        Function<LeaseView, LeaseAction> neverGivesUp = view -> {
            LeaseAction action = LeasePolicy.decide(view);
            return action instanceof LeaseAction.GiveUp ? new LeaseAction.Await(0) : action;
        };
        Function<LeaseView, LeaseAction> takesOverEarly = view -> {
            LeaseObservation seen = view.state().observed();
            LeaseObservation earlier = new LeaseObservation(seen.row(), seen.firstSeenNanos() - 2_000_000_000L);
            return LeasePolicy.decide(new LeaseView(
                    view.self(),
                    view.key(),
                    view.timing(),
                    new LeaseState(earlier, view.state().held(), view.state().attempt()),
                    view.writeInFlight(),
                    view.resigning(),
                    view.successorReady(),
                    view.nowNanos()));
        };
        return Stream.of(
                Arguments.of("an observer that waits only 1 s", takesOverEarly, LeaseTiming.DEFAULT),
                Arguments.of(
                        "a holder that acts a second too long", neverGivesUp, new LeaseTiming(3_000, 1_000, -1_000)));
    }

    @ParameterizedTest(name = "{0} is detected")
    @MethodSource("faults")
    void faultyPolicyIsDetected(String fault, Function<LeaseView, LeaseAction> policy, LeaseTiming timing) {
        int overlaps = IntStream.range(0, 50)
                .map(seed -> new LeaseSimulation(new Random(seed), policy, timing)
                        .run(120_000)
                        .overlaps())
                .sum();
        assertTrue(overlaps > 0, fault);
    }

    private static LeaseView view(LeaseState state, long elapsedMs, boolean resigning) {
        long nowNanos = TimeUnit.MILLISECONDS.toNanos(elapsedMs);
        return new LeaseView(Samples.node("n1", 5), KEY, LeaseTiming.DEFAULT, state, false, resigning, true, nowNanos);
    }

    private static Revisioned<LeaseRow> row(long revision, String holder, long incarnation, long epoch) {
        Optional<NodeId> id = holder.isEmpty() ? Optional.empty() : Optional.of(new NodeId(holder));
        return new Revisioned<>(revision, new LeaseRow(id, incarnation, epoch, 3_000));
    }
}

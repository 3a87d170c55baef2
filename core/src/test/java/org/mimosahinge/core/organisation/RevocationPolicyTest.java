package org.mimosahinge.core.organisation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against calls by a withdrawn key on a node that was cut off or paused when the key was withdrawn. */
class RevocationPolicyTest {

    private static final long SEEDS = 400;

    @ParameterizedTest(name = "strict {0}, proof of version {1} aged {2} ms, call by version {3}: {4}")
    @CsvSource({
        "true, 3, 0, 3, true",
        "true, 3, 4000, 3, true",
        "true, 3, 4001, 3, false",
        "true, 3, 1000, 4, true",
        "true, 3, 1000, 2, false",
        "true, , 0, 3, false",
        "false, 3, 90000, 3, true",
        "false, , 0, 3, true"
    })
    void callsNeedARecentProof(boolean strict, Long proven, long ageMs, long version, boolean allowed) {
        OrganisationBounds bounds = new OrganisationBounds(strict, Duration.ofSeconds(5), Duration.ofSeconds(5), 0, 0);
        Optional<ConfigurationProof> proof =
                Optional.ofNullable(proven).map(number -> new ConfigurationProof(number, -7));
        long nowNanos = TimeUnit.MILLISECONDS.toNanos(ageMs) - 7;
        assertEquals(allowed, RevocationPolicy.allows(bounds, proof, version, nowNanos));
    }

    /** A bound that is too small by one of these would date a proof too late. */
    @ParameterizedTest(name = "request at {0}, reading {1}, handled at {2}, then {3} handled at {4}: from {5} ms on")
    @CsvSource({
        // The first response was delayed by 9 s; the second reading is old although it has just arrived.
        "100, 5110, 9110, 5200, 9200, 188",
        // A later reading is dated by the first response.
        "100, 5110, 150, 8110, 3200, 3098",
        // A reading from the future: the node's clock stood still.
        "100, 5110, 150, 9110, 200, -1"
    })
    void readingsAreDatedByTheRequest(
            long sentMs, long platformMs, long receivedMs, long nextPlatformMs, long nextReceivedMs, long expectedMs) {
        PlatformClock clock = PlatformClock.UNKNOWN
                .withResponse(platformMs, nanos(sentMs), nanos(receivedMs))
                .withReading(nextPlatformMs, nanos(nextReceivedMs));
        assertEquals(expectedMs >= 0, clock.known());
        if (clock.known()) {
            long earliestMs = TimeUnit.NANOSECONDS.toMillis(clock.earliestNanos(nextPlatformMs, nanos(nextReceivedMs)));
            assertEquals(expectedMs, earliestMs);
        }
    }

    /** With a bound from a slow response alone, proofs would look older than they are for as long as the node runs. */
    @ParameterizedTest(name = "responses within {0} and {1} ms: due {2}, dated too early by {3} ms")
    @CsvSource({"20, 20, false, 11", "800, 800, true, 401", "800, 20, false, 11", "20, 800, false, 11"})
    void aQuickResponseNarrowsTheBound(long firstMs, long secondMs, boolean due, long errorMs) {
        long originMs = 5_000;
        PlatformClock clock = PlatformClock.UNKNOWN;
        long sentMs = 0;
        for (long tookMs : new long[] {firstMs, secondMs}) {
            clock = clock.withResponse(originMs + sentMs + tookMs / 2, nanos(sentMs), nanos(sentMs + tookMs));
            sentMs += 900;
        }
        assertEquals(due, clock.renewalDue(nanos(sentMs)));
        long datedMs = TimeUnit.NANOSECONDS.toMillis(clock.earliestNanos(originMs + sentMs, nanos(sentMs)));
        assertEquals(sentMs - errorMs, datedMs, 1);
    }

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private static List<RevocationSimulation> runs(
            boolean disturbed, Supplier<RevocationSimulation.ProofDating> dating) {
        return LongStream.range(0, SEEDS)
                .mapToObj(seed -> new RevocationSimulation(seed, disturbed, dating.get()).run())
                .toList();
    }

    private static Stream<Arguments> datings() {
        return Stream.of(
                dating("bound on the clocks' difference", RevocationSimulation.ProofDating::byClockBound, true),
                dating("baseline: arrival", RevocationSimulation.ProofDating::byArrival, false),
                dating("baseline: fastest message", RevocationSimulation.ProofDating::byFastestMessage, false));
    }

    private static Arguments dating(String name, Supplier<RevocationSimulation.ProofDating> dating, boolean holds) {
        return Arguments.of(name, dating, holds);
    }

    /** Cuts, pauses and messages that are delayed by up to 15 s, around withdrawals. */
    @ParameterizedTest(name = "{0}: holds {2}")
    @MethodSource("datings")
    void noKeyOutlivesItsWithdrawal(String name, Supplier<RevocationSimulation.ProofDating> dating, boolean holds) {
        List<RevocationSimulation> runs = runs(true, dating);
        long late = runs.stream().mapToLong(run -> run.late().size()).sum();
        long afterWithdrawal =
                runs.stream().mapToLong(run -> run.servedAfterWithdrawal.size()).sum();
        assertTrue(afterWithdrawal > 0, "withdrawals must meet calls");
        assertEquals(holds, late == 0, late + " calls were served late");
    }

    /**
     * A bound that is too wide would refuse calls while nothing is wrong. A call that has read a version just before
     * the proof of the next one is refused, at most one for each withdrawal.
     */
    @ParameterizedTest(name = "{0}")
    @MethodSource("datings")
    void nothingIsRefusedWithoutADisturbance(
            String name, Supplier<RevocationSimulation.ProofDating> dating, boolean holds) {
        for (RevocationSimulation run : runs(false, dating)) {
            assertTrue(run.served > 0);
            assertTrue(run.refused <= RevocationSimulation.MAX_WITHDRAWALS, run.refused + " calls were refused");
        }
    }
}

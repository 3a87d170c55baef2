package org.mimosahinge.core.fanout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against reconnect storms: synchronous retries and unbounded admission. */
class ReconnectStormTest {
    @ParameterizedTest(name = "attempt {0}, random number {1}: {2} ms")
    @CsvSource({"0, 0, 0", "0, 0.5, 100", "0, 0.999, 199", "3, 0.5, 800", "5, 0.5, 2500", "1000000, 0.999, 4995"})
    void delayIsDrawnFromTheWholeRangeUpToTheBound(int attempt, double random, long delayMs) {
        assertEquals(delayMs, ReconnectBackoff.DEFAULT.delayMs(attempt, () -> random));
    }

    @ParameterizedTest(name = "{0} nodes in attempt {1}")
    @CsvSource({"300, 0", "300, 3"})
    void reconnectsOfNodesThatFailedTogetherAreSpread(int nodes, int attempt) {
        Random random = new Random(1);
        long bound = ReconnectBackoff.DEFAULT.baseMs() << attempt;
        long firstTenth = IntStream.range(0, nodes)
                .filter(node -> ReconnectBackoff.DEFAULT.delayMs(attempt, random::nextDouble) < bound / 10)
                .count();
        assertTrue(firstTenth < nodes / 5, firstTenth + " nodes in the first tenth");
    }

    @ParameterizedTest(name = "{1} of {0} attempts, {2} ms apart")
    @CsvSource({"30, 10, 0", "30, 12, 10", "30, 30, 100"})
    void bucketAdmitsTheBurstThenTheSustainedRate(int attempts, int expected, long apartMs) {
        assertEquals(expected, admitted(attempts, apartMs, new Random(1), 0));
    }

    @Property(seed = "20261211", tries = 200)
    void admissionsNeverExceedBurstAndRate(@ForAll long seed, @ForAll @IntRange(max = 50) int apartMs) {
        int attempts = 500;
        long limit = 10 + 10L * attempts * (apartMs + 20) / 1_000 + 1;
        assertTrue(admitted(attempts, apartMs, new Random(seed), 20) <= limit);
    }

    private static int admitted(int attempts, long apartMs, Random random, int jitterMs) {
        TokenBucket bucket = TokenBucket.full(10, 10, 0);
        long nowMs = 0;
        int admitted = 0;
        for (int i = 0; i < attempts; i++) {
            // A clock that goes back must not refill the bucket.
            nowMs += apartMs + (jitterMs == 0 ? 0 : random.nextInt(2 * jitterMs) - jitterMs);
            TokenBucket.Acquisition admission = bucket.tryAcquire(TimeUnit.MILLISECONDS.toNanos(nowMs));
            admitted += admission.acquired() ? 1 : 0;
            bucket = admission.next();
        }
        return admitted;
    }
}

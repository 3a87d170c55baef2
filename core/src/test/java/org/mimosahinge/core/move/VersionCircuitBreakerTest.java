package org.mimosahinge.core.move;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.config.HaltMark;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.core.move.MoveSimulation.Outcome;
import org.mimosahinge.core.move.MoveSimulation.Scenario;
import org.mimosahinge.core.move.VersionCircuitBreaker.BreakerDecision;

class VersionCircuitBreakerTest {
    private static final MoveState STATE =
            new MoveState("listings", "v1", "v2", 3, 200, MovePhase.RUNNING, "", MoveSimulation.START);

    private static Observation observed(int failingPercent, int seconds, long seed) {
        Scenario scenario =
                Scenario.of(Outcome.ofNew((second, key, share, random) -> random.nextInt(100) < failingPercent
                        ? Outcome.failure(FailureKind.SERVER_ERROR)
                        : Outcome.normal(random)));
        return CanaryAnalyzerTest.observe(scenario, STATE.sharePermille(), seconds, seed);
    }

    /** Guards against a node that continues to call a failing version until the controller reacts. */
    @ParameterizedTest
    @CsvSource({"50,5", "100,4"})
    void provenLocalFaultStopsCallsAndIssuesAHaltMark(int failingPercent, int seconds) {
        BreakerDecision decision = VersionCircuitBreaker.decide(1000, STATE, observed(failingPercent, seconds, 4));
        assertEquals(0, decision.limitPermille());
        assertEquals(Optional.of(new HaltMark("listings", "v2", 3)), decision.haltMark());
    }

    /** Guards against a circuit breaker that raises a limit or halts a good version. */
    @Property(seed = "13", tries = 60)
    void neverRaisesTheLimitOrHaltsAGoodVersion(
            @ForAll @IntRange(max = 1000) int limit, @ForAll @IntRange(max = 30) int failingPercent) {
        BreakerDecision decision = VersionCircuitBreaker.decide(limit, STATE, observed(failingPercent, 10, limit));
        assertTrue(decision.limitPermille() <= limit);
        assertTrue(failingPercent > 0 || decision.haltMark().isEmpty());
    }
}

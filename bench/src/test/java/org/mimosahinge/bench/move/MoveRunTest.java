package org.mimosahinge.bench.move;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.config.MovePhase;

class MoveRunTest {
    private static Scenario.Kind kind(String name) {
        return Stream.concat(FaultKinds.ALL.stream(), GoodKinds.ALL.stream())
                .filter(kind -> kind.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Guards against a measurement that cannot tell a good policy from one without judgement. */
    @ParameterizedTest
    @CsvSource({"standard,errors_at_once,TAKEN_BACK", "linear_ramp,errors_at_once,DONE", "standard,quiet,DONE"})
    void policiesEndAsTheirKindDemands(String policy, String scenario, MovePhase expected) {
        Contestant contestant = Stream.concat(Stream.of(Contestant.STANDARD), Contestant.BASELINES.stream())
                .filter(one -> one.name().equals(policy))
                .findFirst()
                .orElseThrow();
        assertEquals(
                expected,
                MoveRun.run(contestant, Deployment.HIMAL, kind(scenario), 1).end());
    }

    /** Guards against a run that differs from one with the same seed. */
    @ParameterizedTest
    @CsvSource({"1", "2"})
    void sameSeedGivesTheSameRun(long seed) {
        Scenario.Kind kind = kind("zone_trouble");
        assertEquals(
                MoveRun.run(Contestant.STANDARD, Deployment.HIMAL, kind, seed),
                MoveRun.run(Contestant.STANDARD, Deployment.HIMAL, kind, seed));
    }

    /** Guards against a measurement with fewer kinds than the design page asks for. */
    @ParameterizedTest
    @CsvSource({"12,6"})
    void enoughKindsAreMeasured(int faults, int good) {
        assertTrue(FaultKinds.ALL.size() >= faults);
        assertTrue(GoodKinds.ALL.size() >= good);
    }
}

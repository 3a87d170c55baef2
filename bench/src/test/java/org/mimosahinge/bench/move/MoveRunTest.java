package org.mimosahinge.bench.move;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.config.MovePhase;

class MoveRunTest {
    private static Scenario.Kind kind(String name) {
        return Stream.concat(FaultyScenarios.ALL.stream(), GoodScenarios.ALL.stream())
                .filter(kind -> kind.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Guards against a measurement that cannot tell a good policy from one without analysis. */
    @ParameterizedTest
    @CsvSource({"standard,errors_at_once,TAKEN_BACK", "linear_ramp,errors_at_once,DONE", "standard,quiet,DONE"})
    void policyEndsInExpectedPhase(String policy, String scenario, MovePhase expected) {
        PolicyVariant variant = Stream.concat(Stream.of(PolicyVariant.STANDARD), PolicyVariant.BASELINES.stream())
                .filter(one -> one.name().equals(policy))
                .findFirst()
                .orElseThrow();
        assertEquals(
                expected,
                MoveRun.run(variant, DeploymentModel.HIMAL, kind(scenario), 1).end());
    }

    /** Guards against runs with the same seed and different results. */
    @ParameterizedTest
    @CsvSource({"1", "2"})
    void sameSeedGivesSameResult(long seed) {
        Scenario.Kind kind = kind("zone_trouble");
        assertEquals(
                MoveRun.run(PolicyVariant.STANDARD, DeploymentModel.HIMAL, kind, seed),
                MoveRun.run(PolicyVariant.STANDARD, DeploymentModel.HIMAL, kind, seed));
    }

    /** Guards against a measurement with fewer kinds of scenarios than the design requires. */
    @ParameterizedTest
    @CsvSource({"12,6"})
    void measuresEnoughKinds(int faults, int good) {
        assertTrue(FaultyScenarios.ALL.size() >= faults);
        assertTrue(GoodScenarios.ALL.size() >= good);
    }
}

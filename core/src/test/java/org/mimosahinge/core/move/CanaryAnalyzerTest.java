package org.mimosahinge.core.move;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.mimosahinge.core.move.MoveSimulation.Outcome.failure;
import static org.mimosahinge.core.move.MoveSimulation.Outcome.normal;
import static org.mimosahinge.core.move.MoveSimulation.Outcome.ofNew;

import java.util.EnumSet;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.core.move.Finding.Code;
import org.mimosahinge.core.move.MoveSimulation.Outcome;
import org.mimosahinge.core.move.MoveSimulation.Scenario;

class CanaryAnalyzerTest {
    private static final CallOutcomesKey KEY = new CallOutcomesKey("v2", "browse", "west-1");

    private static Outcome sometimes(int percent, FailureKind kind) {
        return (second, key, share, random) -> random.nextInt(100) < percent ? failure(kind) : normal(random);
    }

    private static Outcome slower(double factor) {
        return (second, key, share, random) -> {
            double outcome = normal(random);
            return outcome < 0 ? outcome : factor * outcome;
        };
    }

    static Stream<Arguments> comparisons() {
        return Stream.of(
                Arguments.of("server errors", ofNew(sometimes(10, FailureKind.SERVER_ERROR)), Code.MORE_ERRORS),
                Arguments.of("timeouts", ofNew(sometimes(10, FailureKind.TIMEOUT)), Code.MORE_ERRORS),
                Arguments.of("crash loop", ofNew(sometimes(3, FailureKind.CRASH)), Code.MORE_ERRORS),
                Arguments.of("new version sheds", ofNew(sometimes(30, FailureKind.SHED)), Code.MORE_SHED),
                Arguments.of(
                        "new version rejects", ofNew(sometimes(30, FailureKind.CALLER_ERROR)), Code.MORE_CALLER_ERRORS),
                Arguments.of(
                        "new version rejects more",
                        (Outcome) (second, key, share, random) -> sometimes(
                                        key.version().equals("v2") ? 15 : 2, FailureKind.CALLER_ERROR)
                                .of(second, key, share, random),
                        Code.MORE_CALLER_ERRORS),
                Arguments.of("slow calls", ofNew(slower(3)), Code.SLOWER),
                Arguments.of("both versions shed", sometimes(30, FailureKind.SHED), null),
                Arguments.of("both versions reject", sometimes(30, FailureKind.CALLER_ERROR), null),
                Arguments.of("both versions fail", sometimes(30, FailureKind.TIMEOUT), null),
                Arguments.of("both versions are slow", slower(3), null),
                Arguments.of(
                        "old version fails more",
                        (Outcome) (second, key, share, random) -> key.version().equals("v1")
                                ? sometimes(10, FailureKind.SERVER_ERROR).of(second, key, share, random)
                                : normal(random),
                        null));
    }

    /** Guards against missed faults and against faults of both versions that are attributed to the new one. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("comparisons")
    void findsOnlyFaultsOfTheNewVersion(String name, Outcome outcome, Code expected) {
        Observation observation = observe(Scenario.of(outcome), 50, 120, 5);
        Set<Code> codes = CanaryAnalyzer.faults(observation.analysis(), 1).stream()
                .map(Finding::code)
                .collect(Collectors.toCollection(() -> EnumSet.noneOf(Code.class)));
        assertEquals(expected == null ? Set.of() : Set.of(expected), codes, name);
    }

    /** Guards against false alarms from testing every second for half an hour. */
    @Property(seed = "14", tries = 8)
    void goodVersionIsNotFoundFaulty(@ForAll long seed, @ForAll @IntRange(min = 20, max = 900) int share) {
        Scenario good = Scenario.of((second, key, permille, random) -> normal(random));
        assertEquals(
                0,
                CanaryAnalyzer.faults(observe(good, share, 1800, seed).analysis(), 1)
                        .size());
    }

    static Stream<Arguments> crashes() {
        return Stream.of(Arguments.of(1, false), Arguments.of(2, false), Arguments.of(5, true));
    }

    /** Guards against a good version that is taken back because one poison request crashed two backend servers. */
    @ParameterizedTest
    @MethodSource("crashes")
    void twoCrashesAreNoFault(int crashes, boolean fault) {
        Scenario good = Scenario.of((second, key, share, random) -> normal(random));
        Observation observation = observe(good, 20, 300, 6);
        CallOutcomeRecorder recorder = new CallOutcomeRecorder();
        for (int crash = 0; crash < crashes; crash++) {
            recorder.recordFailure(KEY, FailureKind.CRASH);
            for (int call = 0; call < 19; call++) {
                recorder.recordFailure(KEY, FailureKind.CRASH_COLLATERAL);
            }
            observation = observation.plus(observation.observedUntil().plusSeconds(1), recorder.drain());
        }
        assertEquals(fault, !CanaryAnalyzer.faults(observation.analysis(), 1).isEmpty());
    }

    static Observation observe(Scenario scenario, int share, int seconds, long seed) {
        MoveState state = new MoveState(
                "listings", "v1", "v2", 3, share, MovePhase.RUNNING, "", MoveSimulation.START.minusSeconds(600));
        Observation observation = Observation.startingAt(state, MoveSimulation.START);
        Random random = new Random(seed);
        for (int second = 1; second <= seconds; second++) {
            CallOutcomes outcomes = MoveSimulation.traffic(scenario, second, share, random);
            observation = observation.plus(MoveSimulation.START.plusSeconds(second), outcomes);
        }
        return observation;
    }
}

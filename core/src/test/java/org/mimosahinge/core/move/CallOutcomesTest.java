package org.mimosahinge.core.move;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BinaryOperator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CallOutcomesTest {
    /** Guards against a merge whose result depends on the order in which the tree combines reports. */
    @Property(seed = "11")
    void mergeIsIndependentOfOrderAndGrouping(@ForAll @IntRange(min = 1, max = 12) int parts, @ForAll long seed) {
        List<CallOutcomes> outcomes = randomOutcomes(parts, new Random(seed));
        List<CallOutcomes> shuffled = new ArrayList<>(outcomes);
        Collections.shuffle(shuffled, new Random(seed + 1));
        assertEquals(fold(outcomes, CallOutcomes::plus), fold(shuffled, CallOutcomes::plus));
        int middle = parts / 2;
        CallOutcomes left = fold(outcomes.subList(0, middle), CallOutcomes::plus);
        assertEquals(
                fold(outcomes, CallOutcomes::plus),
                left.plus(fold(outcomes.subList(middle, parts), CallOutcomes::plus)));
    }

    /** Shows that the property detects a merge that drops one side of a common key. */
    @ParameterizedTest
    @CsvSource({"1", "2", "3"})
    void mergeThatDropsOneSideIsDetected(long seed) {
        BinaryOperator<CallOutcomes> mutant = (one, other) -> {
            Map<CallOutcomesKey, OutcomeCounts> merged = new HashMap<>(one.byKey());
            merged.putAll(other.byKey());
            return new CallOutcomes(merged);
        };
        List<CallOutcomes> outcomes = randomOutcomes(6, new Random(seed));
        List<CallOutcomes> reversed = new ArrayList<>(outcomes);
        Collections.reverse(reversed);
        assertNotEquals(fold(outcomes, mutant), fold(reversed, mutant));
    }

    /** Guards against a bucket that counts latencies a factor of two apart. */
    @ParameterizedTest
    @CsvSource({"0.2,0", "1,0", "1.5,1", "2.1,2", "100,13", "200,15", "1000000,31"})
    void latencyIsCountedInItsBucket(double latencyMs, int bucket) {
        assertEquals(bucket, LatencyHistogram.bucket(latencyMs));
    }

    private static CallOutcomes fold(List<CallOutcomes> outcomes, BinaryOperator<CallOutcomes> merge) {
        return outcomes.stream().reduce(CallOutcomes.EMPTY, merge);
    }

    private static List<CallOutcomes> randomOutcomes(int parts, Random random) {
        List<CallOutcomes> outcomes = new ArrayList<>();
        for (int part = 0; part < parts; part++) {
            CallOutcomeRecorder recorder = new CallOutcomeRecorder();
            for (int call = 0; call < 40; call++) {
                CallOutcomesKey key =
                        new CallOutcomesKey("v" + random.nextInt(2), "browse", "west-" + random.nextInt(2));
                if (random.nextInt(3) == 0) {
                    recorder.recordFailure(key, FailureKind.values()[random.nextInt(FailureKind.COUNT)]);
                } else {
                    recorder.recordSuccess(key, 1 + random.nextInt(3000));
                }
            }
            outcomes.add(recorder.drain());
        }
        return outcomes;
    }
}

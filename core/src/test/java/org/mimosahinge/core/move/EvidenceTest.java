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

class EvidenceTest {
    /** Guards against reports that count differently when the tree merges them in another order. */
    @Property(seed = "11")
    void mergeIsIndependentOfOrderAndGrouping(@ForAll @IntRange(min = 1, max = 12) int parts, @ForAll long seed) {
        List<Evidence> evidence = random(parts, new Random(seed));
        List<Evidence> shuffled = new ArrayList<>(evidence);
        Collections.shuffle(shuffled, new Random(seed + 1));
        assertEquals(fold(evidence, Evidence::plus), fold(shuffled, Evidence::plus));
        int cut = parts / 2;
        Evidence left = fold(evidence.subList(0, cut), Evidence::plus);
        assertEquals(fold(evidence, Evidence::plus), left.plus(fold(evidence.subList(cut, parts), Evidence::plus)));
    }

    /** Shows that the property sees a merge that keeps one side of a common key. */
    @ParameterizedTest
    @CsvSource({"1", "2", "3"})
    void mergeThatKeepsOneSideIsCaught(long seed) {
        BinaryOperator<Evidence> mutant = (one, other) -> {
            Map<EvidenceKey, Tally> merged = new HashMap<>(one.tallies());
            merged.putAll(other.tallies());
            return new Evidence(merged);
        };
        List<Evidence> evidence = random(6, new Random(seed));
        List<Evidence> reversed = new ArrayList<>(evidence);
        Collections.reverse(reversed);
        assertNotEquals(fold(evidence, mutant), fold(reversed, mutant));
    }

    /** Guards against a bucket that mixes latencies a factor of two apart. */
    @ParameterizedTest
    @CsvSource({"0.2,0", "1,0", "1.5,1", "2.1,2", "100,13", "200,15", "1000000,31"})
    void latencyFallsIntoItsBucket(double latencyMs, int bucket) {
        assertEquals(bucket, LatencyHistogram.bucket(latencyMs));
    }

    private static Evidence fold(List<Evidence> evidence, BinaryOperator<Evidence> merge) {
        return evidence.stream().reduce(Evidence.EMPTY, merge);
    }

    private static List<Evidence> random(int parts, Random random) {
        List<Evidence> evidence = new ArrayList<>();
        for (int part = 0; part < parts; part++) {
            EvidenceRecorder recorder = new EvidenceRecorder();
            for (int call = 0; call < 40; call++) {
                EvidenceKey key = new EvidenceKey("v" + random.nextInt(2), "browse", "west-" + random.nextInt(2));
                if (random.nextInt(3) == 0) {
                    recorder.failed(key, FailureKind.values()[random.nextInt(FailureKind.COUNT)]);
                } else {
                    recorder.succeeded(key, 1 + random.nextInt(3000));
                }
            }
            evidence.add(recorder.drain());
        }
        return evidence;
    }
}

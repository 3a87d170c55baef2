package org.mimosahinge.bench.calls;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against statistics that miss a second run, a false report as not run, or an incomplete response. */
class CallStatisticsTest {

    @ParameterizedTest(name = "{0} {1}, runs: {2}, expected: {3}")
    @CsvSource({
        "PAY, succeeded, 1, 1.0 0 0 0",
        "PAY, succeeded, 2, 1.0 1 0 0",
        "BROWSE, succeeded, 2, 1.0 0 0 0",
        "PAY, not run, 0, 0.5 0 0 0",
        "BROWSE, not run, 1, 0.5 0 1 0",
        "BROWSE, incomplete, 1, 0.5 0 0 1"
    })
    void countsProtocolViolations(CallKind kind, String end, int runs, String expected) {
        CallResult other = new CallResult(CallKind.BROWSE, "other", true, false, false, false, false, 1_000);
        CallResult result = new CallResult(
                kind,
                "key",
                end.equals("succeeded"),
                end.equals("not run"),
                false,
                end.equals("incomplete"),
                false,
                1_000);
        Map<String, Integer> runsByKey = runs == 0 ? Map.of() : Map.of("key", runs);
        CallStatistics statistics = CallStatistics.of(List.of(other, result), runsByKey);
        assertEquals(
                expected,
                statistics.successFraction() + " " + statistics.runTwice() + " " + statistics.falseNotRun() + " "
                        + statistics.incomplete());
    }
}

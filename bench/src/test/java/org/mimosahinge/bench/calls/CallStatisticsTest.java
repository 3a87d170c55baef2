package org.mimosahinge.bench.calls;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against figures that hide a second run, an untrue refusal or a cut call. */
class CallStatisticsTest {

    @ParameterizedTest(name = "{0} {1}, ran {2} times: {3}")
    @CsvSource({
        "PAY, answered, 1, 1.0 0 0 0",
        "PAY, answered, 2, 1.0 1 0 0",
        "BROWSE, answered, 2, 1.0 0 0 0",
        "PAY, not run, 0, 0.5 0 0 0",
        "BROWSE, not run, 1, 0.5 0 1 0",
        "BROWSE, cut, 1, 0.5 0 0 1"
    })
    void countsProtocolViolations(CallKind kind, String end, int runs, String expected) {
        CallResult other = new CallResult(CallKind.BROWSE, "other", true, false, false, false, false, 1_000);
        CallResult result = new CallResult(
                kind, "key", end.equals("answered"), end.equals("not run"), false, end.equals("cut"), false, 1_000);
        Map<String, Integer> runsByKey = runs == 0 ? Map.of() : Map.of("key", runs);
        CallStatistics statistics = CallStatistics.of(List.of(other, result), runsByKey);
        assertEquals(
                expected,
                statistics.successFraction() + " " + statistics.runTwice() + " " + statistics.falseNotRun() + " "
                        + statistics.incomplete());
    }
}

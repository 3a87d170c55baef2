package org.mimosahinge.core.pipelining;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a call that is cancelled after it has run although it may run only once, and against lookups of one
 * caller that wait for each other. Baselines: one request after the other fails the cases that may start, all at once
 * those that may not.
 */
class PipeliningPolicyTest {

    private static final int MAX_RUNNING = 3;

    @ParameterizedTest(name = "{0} running, before: {1}, next: {2}, may start {3}")
    @CsvSource({
        "1, lookup, lookup, true",
        "2, lookup, lookup, true",
        "3, lookup, lookup, false",
        "1, lookup, payment, false",
        "1, payment, lookup, false",
        "1, lookup that closes, lookup, false",
        "1, lookup, lookup that closes, true",
        "1, lookup, lookup that awaits 100, false",
        "1, lookup that awaits 100, lookup, true"
    })
    void onlyRepeatableRequestsRunSideBySide(int running, String before, String next, boolean expected) {
        PipeliningPolicy policy = new PipeliningPolicy(MAX_RUNNING);
        assertEquals(expected, policy.mayStart(running, request(before), request(next)));
    }

    private static PipelinedRequest request(String text) {
        return new PipelinedRequest(text.startsWith("lookup"), text.endsWith("closes"), text.endsWith("100"));
    }
}

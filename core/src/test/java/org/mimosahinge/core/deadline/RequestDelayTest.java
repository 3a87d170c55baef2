package org.mimosahinge.core.deadline;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against deadlines that start again when a request is processed late, and against refusing new requests. */
class RequestDelayTest {

    @ParameterizedTest(name = "deadline {0} ms, unread for at most {1} ms, queued for {2} ms: {3} ms elapsed")
    @CsvSource({
        "250, 0, 0, 0",
        "250, 200, 0, 100",
        "250, 700, 0, 125",
        "2500, 700, 0, 350",
        "250, 0, 100, 100",
        "250, 700, 150, 200",
        "250, 700, 300, 300"
    })
    void delayBeforeProcessingCountsAgainstTheDeadline(long deadlineMs, long unreadMs, long queuedMs, long elapsedMs) {
        assertEquals(elapsedMs, new RequestDelay(unreadMs, queuedMs).elapsedMs(deadlineMs));
    }
}

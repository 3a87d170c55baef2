package org.mimosahinge.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against calls that run twice, retry storms and downloads that combine bytes of different entities. */
class RetryTest {

    @ParameterizedTest(
            name =
                    "idempotent {0}, not run {1}, attempt {2}, replayable {3}, {4} ms remaining, {5} hundredths saved: {6}")
    @CsvSource({
        "true, false, 1, true, 100, 100, true",
        "false, false, 1, true, 100, 100, false",
        "false, true, 1, true, 100, 100, true",
        "true, true, 4, true, 100, 100, false",
        "true, true, 1, false, 100, 100, false",
        "true, true, 1, true, 0, 100, false",
        "true, true, 1, true, 100, 99, false"
    })
    void retriesOnlySafeCallsWithinTheBudget(
            boolean idempotent,
            boolean notRun,
            int attempts,
            boolean replayable,
            long remainingMs,
            long savedHundredths,
            boolean retry) {
        RetryView view = new RetryView(
                idempotent, notRun, attempts, replayable, remainingMs, new RetryBudget(10, savedHundredths));
        assertEquals(retry, RetryPolicy.standard().shouldRetry(view));
    }

    @Property(tries = 100, seed = "5")
    void retriesStayWithinTheirPercentage(
            @ForAll @IntRange(min = 1, max = 5000) int calls, @ForAll @IntRange(min = 0, max = 50) int percent) {
        RetryBudget budget = RetryBudget.of(percent);
        int retries = 0;
        for (int i = 0; i < calls; i++) {
            budget = budget.afterFirstAttempt();
            while (budget.allowsRetry()) {
                budget = budget.afterRetry();
                retries++;
            }
        }
        assertTrue(retries <= 1 + calls * percent / 100, retries + " retries of " + calls + " calls");
    }

    @ParameterizedTest(name = "{0} status {1} etag {2}, {3} of {4} bytes, range requested {5}: resumable {6}")
    @CsvSource({
        "GET, 200, '\"a\"', 40, 100, false, true",
        "GET, 200, 'W/\"a\"', 40, 100, false, false",
        "GET, 200, '', 40, 100, false, false",
        "GET, 200, '\"a\"', 100, 100, false, false",
        "GET, 200, '\"a\"', 40, -1, false, false",
        "GET, 206, '\"a\"', 40, 100, true, false",
        "POST, 200, '\"a\"', 40, 100, false, false"
    })
    void resumesOnlyWithAStrongEntityTag(
            String method,
            int status,
            String etag,
            long receivedBytes,
            long contentLength,
            boolean rangeRequested,
            boolean resumable) {
        DownloadProgress download =
                new DownloadProgress(method, rangeRequested, status, etag, contentLength, receivedBytes);
        assertEquals(resumable, download.resumeHeaders().isPresent());
    }

    @ParameterizedTest(name = "status {0} etag {1} range {2}: skip {3}")
    @CsvSource({
        "206, '\"a\"', bytes 40-99/100, 0",
        "206, '\"b\"', bytes 40-99/100, none",
        "206, '\"a\"', bytes 41-99/100, none",
        "206, '\"a\"', bytes 40-98/100, none",
        "206, '\"a\"', , none",
        "200, '\"a\"', , 40",
        "200, '\"b\"', , none",
        "404, '\"a\"', , none"
    })
    void resumesOnlyTheSameEntity(int status, String etag, String range, String bytesToSkip) {
        Map<String, String> headers = new HashMap<>(Map.of("etag", etag));
        if (range != null) {
            headers.put("content-range", range);
        }
        DownloadProgress download = new DownloadProgress("GET", false, 200, "\"a\"", 100, 40);
        assertEquals(
                bytesToSkip,
                download.bytesToSkip(status, headers).map(String::valueOf).orElse("none"));
    }
}

package org.mimosahinge.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the last line of the demo's output. */
class DemoTest {

    /** Guards against a reason of several lines, after which the last line would not be the outcome. */
    @ParameterizedTest
    @CsvSource({"plain, plain", "a\"b, a'b", "'one:\n  two\r\nthree', one: | two | three"})
    void printsReasonOnOneLine(String reason, String expected) {
        assertEquals(expected, Demo.oneLine(reason));
    }
}

package org.mimosahinge.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The demo's last line. */
class DemoTest {

    /** Guards against a reason that spreads over several lines, after which the last line is not the outcome. */
    @ParameterizedTest
    @CsvSource({"plain, plain", "a\"b, a'b", "'one:\n  two\r\nthree', one: | two | three"})
    void printsReasonOnOneLine(String reason, String expected) {
        assertEquals(expected, Demo.oneLine(reason));
    }
}

package org.mimosahinge.net.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Values with blanks, quotes or line breaks must not break the format of one line with key=value pairs. */
class EventLogTest {

    @ParameterizedTest
    @CsvSource(
            quoteCharacter = '`',
            value = {
                "plain,plain",
                "two words,`\"two words\"`",
                "a=b,`\"a=b\"`",
                "say \"x\",`\"say \\\"x\\\"\"`",
                "``,`\"\"`"
            })
    void valueIsQuotedWhenNeeded(String value, String formatted) {
        assertEquals("event=tested key=" + formatted, EventLog.format("tested", "key", value));
    }

    @ParameterizedTest
    @CsvSource({"1", "2"})
    void lineBreakInsideValueStaysOnOneLine(int breaks) {
        String line = EventLog.format("tested", "key", "a" + "\n".repeat(breaks) + "b");
        assertEquals(1, line.lines().count());
    }
}

package org.mimosahinge.api.document;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.InvalidDocumentException;
import org.mimosahinge.api.error.Problem;

class SectionProblemsTest {

    static Stream<InputMutation> mutations() {
        return Stream.of(
                InputMutation.of(
                        "unknown field",
                        "\"resources\": [\"l",
                        "\"resource\": [\"l",
                        "4 unknown_field resource",
                        "12 unknown_field routes[0].resource"),
                InputMutation.of(
                        "duplicate field",
                        "\"current\": \"v1\"",
                        "\"current\": \"v1\", \"current\": \"v1\"",
                        "6 duplicate_field services[0].current"),
                InputMutation.of(
                        "duplicate field with an invalid second value",
                        "\"timeout\": \"2s\"",
                        "\"timeout\": \"2s\", \"timeout\": 2",
                        "12 duplicate_field routes[0].timeout",
                        "12 invalid_value routes[0].timeout"),
                InputMutation.of("missing field", "\"callClass\": \"interactive\",", "", "10 missing_field routes[0]"),
                InputMutation.of("missing team", "\"team\": \"listings\",", "", "1 missing_field "),
                InputMutation.of(
                        "wrong type", "\"queue\": 64", "\"queue\": \"64\"", "8 invalid_value services[0].limits.queue"),
                InputMutation.of(
                        "null", "{\"queue\": 64, \"retryPercent\": 10}", "null", "8 invalid_value services[0].limits"),
                InputMutation.of(
                        "fraction", "\"queue\": 64", "\"queue\": 6.5", "8 invalid_value services[0].limits.queue"),
                InputMutation.of(
                        "number exceeding the range of long",
                        "\"queue\": 64",
                        "\"queue\": 99999999999999999999",
                        "8 out_of_range services[0].limits.queue"),
                InputMutation.of(
                        "negative number", "\"queue\": 64", "\"queue\": -1", "8 out_of_range services[0].limits.queue"),
                InputMutation.of(
                        "percentage above 100",
                        "\"retryPercent\": 10",
                        "\"retryPercent\": 101",
                        "8 out_of_range services[0].limits.retryPercent"),
                InputMutation.of("unknown unit", "\"2s\"", "\"2min\"", "12 invalid_value routes[0].timeout"),
                InputMutation.of("missing unit", "\"2s\"", "\"2\"", "12 invalid_value routes[0].timeout"),
                InputMutation.of("fractional duration", "\"2s\"", "\"0.5s\"", "12 invalid_value routes[0].timeout"),
                InputMutation.of("zero timeout", "\"2s\"", "\"0ms\"", "12 out_of_range routes[0].timeout"),
                InputMutation.of("timeout above an hour", "\"2s\"", "\"2h\"", "12 out_of_range routes[0].timeout"),
                InputMutation.of(
                        "instant without offset",
                        "2026-12-04T10:00:00Z",
                        "2026-12-04T10:00:00",
                        "7 invalid_value services[0].move.start"),
                InputMutation.of(
                        "instant out of range",
                        "2026-12-04T12:00:00Z",
                        "9999-12-04T12:00:00Z",
                        "7 out_of_range services[0].move.deadline"),
                InputMutation.of(
                        "deadline before start",
                        "T12:00:00Z",
                        "T09:00:00Z",
                        "7 invalid_value services[0].move.deadline"),
                InputMutation.of(
                        "deadline equal to start",
                        "T12:00:00Z",
                        "T10:00:00Z",
                        "7 invalid_value services[0].move.deadline"),
                InputMutation.of(
                        "move to an unknown version",
                        "\"to\": \"v2\"",
                        "\"to\": \"v3\"",
                        "7 dangling_reference services[0].move.to"),
                InputMutation.of(
                        "move to the current version",
                        "\"to\": \"v2\"",
                        "\"to\": \"v1\"",
                        "7 invalid_value services[0].move.to"),
                InputMutation.of(
                        "unknown current version",
                        "\"current\": \"v1\"",
                        "\"current\": \"v0\"",
                        "6 dangling_reference services[0].current"),
                InputMutation.of(
                        "no versions",
                        "[\"v1\", \"v2\"]",
                        "[]",
                        "6 invalid_value services[0].versions",
                        "6 dangling_reference services[0].current",
                        "7 dangling_reference services[0].move.to"),
                InputMutation.of(
                        "duplicate version",
                        "[\"v1\", \"v2\"]",
                        "[\"v1\", \"v2\", \"v1\"]",
                        "6 duplicate_name services[0].versions[2]"),
                InputMutation.of(
                        "at most once and idempotent",
                        "\"atMostOnce\": false",
                        "\"atMostOnce\": true",
                        "12 invalid_value routes[0].atMostOnce"),
                InputMutation.of("unknown call class", "interactive", "urgent", "11 invalid_value routes[0].callClass"),
                InputMutation.of(
                        "name with a slash", "\"team\": \"listings\"", "\"team\": \"a/b\"", "3 invalid_value team"),
                InputMutation.of(
                        "path prefix without leading slash",
                        "\"/listings\"",
                        "\"listings\"",
                        "11 invalid_value routes[0].pathPrefix"),
                InputMutation.of(
                        "path prefix with trailing slash",
                        "\"/listings\"",
                        "\"/listings/\"",
                        "11 invalid_value routes[0].pathPrefix"),
                InputMutation.of(
                        "path prefix with dot segment",
                        "\"/listings\"",
                        "\"/a/../listings\"",
                        "11 invalid_value routes[0].pathPrefix"),
                InputMutation.of(
                        "duplicate route",
                        "\"routes\": [{",
                        "\"routes\": [{\"name\": \"browse\", \"pathPrefix\": \"/listings\", \"service\": \"listings\", \"callClass\": \"batch\", \"timeout\": \"1m\"}, {",
                        "11 duplicate_name routes[1].name",
                        "11 duplicate_name routes[1].pathPrefix"),
                InputMutation.of(
                        "invalid version used in two fields",
                        "\"v1\"",
                        "\"v 1\"",
                        "6 invalid_value services[0].versions[0]",
                        "6 invalid_value services[0].current"),
                InputMutation.of(
                        "invalid route followed by a valid one",
                        "\"routes\": [{",
                        "\"routes\": [7, {",
                        "10 invalid_value routes[0]"),
                InputMutation.of("text after the document", "  }]\n}", "  }]\n} {", "14 syntax "),
                InputMutation.of(
                        "problem before a syntax error",
                        "\"queue\": 64, ",
                        "\"queue\": -1 ",
                        "8 out_of_range services[0].limits.queue",
                        "8 syntax services[0].limits"),
                InputMutation.of(
                        "problem next to excessive nesting",
                        "\"queue\": 64",
                        "\"queue\": -1, \"deep\": " + "[".repeat(70) + "]".repeat(70),
                        "8 out_of_range services[0].limits.queue",
                        "8 unknown_field services[0].limits.deep",
                        "8 too_large services[0].limits.deep" + "[0]".repeat(60)));
    }

    /** Guards against problems that are missed, reported twice or at a wrong location, or that hide others. */
    @ParameterizedTest
    @MethodSource("mutations")
    void reportsEveryProblemWithItsLocation(InputMutation mutation) {
        byte[] json = TestDocuments.utf8(mutation.apply(TestDocuments.SECTION));
        assertEquals(
                mutation.expectedProblems(),
                InputMutation.problemsOf(() -> SectionParser.parse("listings.json", json)));
    }

    /** Guards against accepting a truncated document or reporting its missing end as missing fields. */
    @Test
    void reportsATruncatedDocumentAsOneSyntaxError() {
        byte[] json = TestDocuments.utf8(TestDocuments.SECTION);
        int end = TestDocuments.SECTION.lastIndexOf('}');
        for (int length = 0; length <= end; length++) {
            byte[] truncated = Arrays.copyOf(json, length);
            List<String> problems = InputMutation.problemsOf(() -> SectionParser.parse("listings.json", truncated));
            assertEquals(1, problems.size(), "truncated at " + length + ": " + problems);
            assertTrue(problems.get(0).contains(" syntax "), "truncated at " + length + ": " + problems);
        }
    }

    /** Guards against deep nesting or many values exhausting the stack or the heap. */
    @ParameterizedTest
    @CsvSource({"10 MB of nesting, [, 10485760", "1 MB of nesting, [, 1048576", "many values, '1,', 524287"})
    void rejectsOversizedDocuments(String name, String part, int repeats) {
        byte[] json = TestDocuments.utf8("[" + part.repeat(repeats - 1));
        List<Problem> problems = assertThrows(
                        InvalidDocumentException.class, () -> SectionParser.parse("oversized", json))
                .problems();
        assertTrue(problems.stream().anyMatch(problem -> problem.code() == ErrorCode.TOO_LARGE), name);
        assertTrue(problems.size() <= Problems.MAX_PROBLEMS, name);
    }

    /** Guards against accepting bytes that other parsers decode differently. */
    @Test
    void reportsTheLocationOfInvalidUtf8() {
        byte[] json =
                TestDocuments.SECTION.replace("\"browse\"", "\"br\u00f6wse\"").getBytes(StandardCharsets.ISO_8859_1);
        assertEquals(
                List.of("11 syntax routes[0].name"),
                InputMutation.problemsOf(() -> SectionParser.parse("listings.json", json)));
    }

    /** Guards against column numbers that count bytes and thus differ from those in an editor. */
    @Test
    void countsColumnsInCharacters() {
        byte[] json = TestDocuments.utf8("{/* Zeitb\u00f6rse */ \"team\": 5}");
        Problem problem = assertThrows(InvalidDocumentException.class, () -> SectionParser.parse("s", json))
                .problems()
                .get(0);
        assertEquals(26, problem.column());
        assertEquals("5", problem.found());
    }
}

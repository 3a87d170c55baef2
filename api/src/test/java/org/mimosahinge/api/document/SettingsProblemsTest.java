package org.mimosahinge.api.document;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class SettingsProblemsTest {

    static Stream<InputMutation> mutations() {
        String last = "\"storeRegion\": \"ch-west\"";
        return Stream.of(
                InputMutation.of("missing address", "\"operatorAddress\": \"10.0.0.7:9090\",", "", "1 missing_field "),
                InputMutation.of("host name", "10.0.0.1:8000", "platform:8000", "5 invalid_address platformAddress"),
                InputMutation.of(
                        "incomplete IP address", "10.0.0.1:8000", "10.0.1:8000", "5 invalid_address platformAddress"),
                InputMutation.of("missing port", "10.0.0.1:8000", "10.0.0.1", "5 invalid_address platformAddress"),
                InputMutation.of("port 0", "10.0.0.1:8000", "10.0.0.1:0", "5 out_of_range platformAddress"),
                InputMutation.of(
                        "port above 65535", "10.0.0.1:8000", "10.0.0.1:65536", "5 out_of_range platformAddress"),
                InputMutation.of(
                        "duration as a number", last, last + ", \"heartbeat\": 1", "6 invalid_value heartbeat"),
                InputMutation.of(
                        "log sampling of 0", last, last + ", \"logSampling\": 0", "6 out_of_range logSampling"),
                InputMutation.of(
                        "heartbeat too slow for the lease",
                        last,
                        last + ", \"heartbeat\": \"2s\"",
                        "6 out_of_range heartbeat"),
                InputMutation.of(
                        "lease too short for the heartbeat",
                        last,
                        last + ", \"leaseTtl\": \"2s\"",
                        "6 out_of_range leaseTtl"),
                InputMutation.of(
                        "duplicate interest",
                        last,
                        last + ", \"interests\": [\"a\", \"a\"]",
                        "6 duplicate_name interests[1]"),
                InputMutation.of(
                        "two invalid values",
                        "\"nodeId\": \"node-1\", \"zone\": \"ch-west-a\"",
                        "\"nodeId\": \"\", \"zone\": 1",
                        "2 invalid_value nodeId",
                        "2 invalid_value zone"),
                InputMutation.of("unknown field", last, last + ", \"leaseTTL\": \"3s\"", "6 unknown_field leaseTTL"));
    }

    /** Guards against a daemon starting with settings that its operator did not intend. */
    @ParameterizedTest
    @MethodSource("mutations")
    void reportsEveryProblemWithItsLocation(InputMutation mutation) {
        byte[] json = TestDocuments.utf8(mutation.apply(TestDocuments.SETTINGS));
        assertEquals(
                mutation.expectedProblems(), InputMutation.problemsOf(() -> SettingsParser.parse("node.json", json)));
    }
}

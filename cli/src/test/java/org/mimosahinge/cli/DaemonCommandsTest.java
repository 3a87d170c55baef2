package org.mimosahinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class DaemonCommandsTest {
    private static final String SECTION = "{\"team\":\"a\",\"resources\":[\"r\"],\"services\":[],\"routes\":[]}";
    private static final String STATUS =
            "{\"node\":\"n1\",\"version\":7,\"ready\":true,\"inForce\":1,\"nodes\":2,\"zone\":\"z\",\"region\":\"r\"}";

    /**
     * A command and its expected output.
     *
     * @param command the command line
     * @param expected the lines of standard output
     */
    record Case(String command, List<String> expected) {
        static Case of(String command, String... expected) {
            return new Case(command, List.of(expected));
        }
    }

    static Stream<Case> cases() {
        return Stream.of(
                Case.of(
                        "status",
                        "version 7 in force on 1 of 2",
                        "  r/z: 1 of 2",
                        "answered by n1 in zone z, region r, ready"),
                Case.of("status --output json", STATUS),
                Case.of(
                        "moves",
                        "SERVICE  FROM  TO  SHARE  PHASE       SINCE                 REASON",
                        "s        v1    v2  1.5%   taken_back  2026-12-04T10:00:00Z  errors on browse"),
                Case.of(
                        "nodes",
                        "ID  REGION  ZONE  ADDRESS        VERSION  READY",
                        "n1  r       z     10.0.0.1:7070  7        true",
                        "n2  r       z     10.0.0.2:7070  6        false"),
                Case.of(
                        "endpoints",
                        "ID      SERVICE  VERSION  NODE  ZONE  STATE  SLOTS  CONNECTIONS",
                        "n1/a:1  s        v1       n1    z     ready  20     130"),
                Case.of(
                        "document --output json",
                        "{\"version\":7,\"sections\":[{\"team\":\"a\",\"revision\":3,\"content\":" + SECTION + "}]}"),
                Case.of(
                        "document a",
                        "// team a, revision 3",
                        "{",
                        "  \"team\" : \"a\",",
                        "  \"resources\" : [ \"r\" ],",
                        "  \"services\" : [ ],",
                        "  \"routes\" : [ ]",
                        "}"),
                Case.of("drain n1/a:1", "draining n1/a:1"),
                Case.of(
                        "watch --timeout 1ms",
                        "version 7 in force on 1 of 2",
                        "move of s from v1 to v2: 1.5%, taken_back, errors on browse"));
    }

    /** Guards against a verb that requests the wrong resource or omits part of the response. */
    @ParameterizedTest
    @MethodSource("cases")
    void reportsTheResponse(Case testCase) {
        try (StandInDaemon daemon = new StandInDaemon()
                .respond("GET /v1/status", 200, STATUS)
                .respond(
                        "GET /v1/moves",
                        200,
                        "{\"moves\":[{\"service\":\"s\",\"from\":\"v1\",\"to\":\"v2\",\"sharePermille\":15,"
                                + "\"phase\":\"taken_back\",\"reason\":\"errors on browse\","
                                + "\"since\":\"2026-12-04T10:00:00Z\"}]}")
                .respond(
                        "GET /v1/nodes",
                        200,
                        "{\"nodes\":[{\"id\":\"n1\",\"zone\":\"z\",\"region\":\"r\",\"address\":\"10.0.0.1:7070\","
                                + "\"version\":7,\"ready\":true},{\"id\":\"n2\",\"zone\":\"z\",\"region\":\"r\","
                                + "\"address\":\"10.0.0.2:7070\",\"version\":6,\"ready\":false,\"new\":1}]}")
                .respond(
                        "GET /v1/endpoints",
                        200,
                        "{\"endpoints\":[{\"id\":\"n1/a:1\",\"service\":\"s\",\"version\":\"v1\",\"node\":\"n1\","
                                + "\"zone\":\"z\",\"state\":\"ready\",\"slots\":20,\"connections\":130}]}")
                .respond(
                        "GET /v1/document",
                        200,
                        "{\"version\":7,\"sections\":[{\"team\":\"a\",\"revision\":3,\"content\":" + SECTION + "}]}")
                .respond("POST /v1/endpoints/n1%2Fa%3A1/drain", 202, "")) {
            List<String> command =
                    new ArrayList<>(Arrays.asList(testCase.command().split(" ")));
            command.addAll(List.of("--node", daemon.address()));
            CommandResult result = CommandResult.run(command.toArray(String[]::new));
            assertEquals("", result.err());
            assertEquals(testCase.expected(), result.out().lines().toList());
            assertEquals(ExitCode.OK, result.exit());
        }
    }

    /** Guards against a status command that fails while the platform is unavailable. */
    @Test
    void reportsTheStatusWhileThePlatformIsUnavailable() {
        try (StandInDaemon daemon = new StandInDaemon()
                .respond("GET /v1/status", 200, STATUS)
                .respond("GET /v1/nodes", 503, "{\"code\":\"platform_unavailable\",\"message\":\"No platform\"}")) {
            CommandResult result = CommandResult.run("status", "--node", daemon.address());
            assertEquals(ExitCode.OK, result.exit(), result.err());
            assertEquals(
                    List.of(
                            "version 7 in force on 1 of 2",
                            "  zones not known: platform_unavailable: No platform",
                            "answered by n1 in zone z, region r, ready"),
                    result.out().lines().toList());
        }
    }
}

package org.mimosahinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosahinge.api.error.ErrorCode;

class ErrorReportingTest {
    private static final String SECTION = "{\"team\": \"a\"}";

    @TempDir
    private Path folder;

    /** Guards against exit codes by which a script cannot tell kinds of failure apart. */
    @ParameterizedTest
    @CsvSource({
        "section_conflict, 409, CONFLICT",
        "dangling_reference, 400, INVALID_DOCUMENT",
        "platform_unavailable, 503, UNAVAILABLE",
        "platform_answer_lost, 503, UNAVAILABLE",
        "not_found, 404, NOT_FOUND",
        "deadline_exceeded, 504, TIMEOUT",
        "internal, 500, INTERNAL",
        "code_of_a_newer_daemon, 400, INTERNAL"
    })
    void mapsErrorResponsesToExitCodes(String code, int status, ExitCode exit) throws IOException {
        try (StandInDaemon daemon = new StandInDaemon()
                .respond("PUT /v1/sections/a?base=3", status, "{\"code\":\"" + code + "\",\"message\":\"why\"}")) {
            CommandResult result = submit(daemon, "--base", "3");
            assertEquals(exit, result.exit(), result.err());
            assertTrue(result.err().startsWith("error: " + code + ": why"), result.err());
            assertEquals("", result.out());
        }
    }

    /** Guards against an error response of which only the first problem is printed, or without line and column. */
    @Test
    void printsEveryProblemOfAnErrorResponse() throws IOException {
        String problem = "{\"code\":\"dangling_reference\",\"file\":\"%s\",\"line\":0,\"column\":0,"
                + "\"path\":\"team\",\"found\":\"f\",\"expected\":\"e\"}";
        try (StandInDaemon daemon = new StandInDaemon()
                .respond(
                        "PUT /v1/sections/a?base=0",
                        400,
                        "{\"code\":\"dangling_reference\",\"message\":\"m\",\"problems\":[" + problem.formatted("a")
                                + "," + problem.formatted("b") + "]}")) {
            CommandResult result = submit(daemon, "--base", "0");
            assertEquals(ExitCode.INVALID_DOCUMENT, result.exit());
            String rest = ": dangling_reference at team: found f, expected e";
            assertEquals(
                    List.of(folder.resolve("a.json") + ":1:10" + rest, "b:0:0" + rest),
                    result.err().lines().toList());
        }
    }

    /**
     * Guards against a command that blocks forever when the daemon hangs, and against a lost response that is reported
     * as a rejection.
     */
    @Test
    void exitsAtTheTimeoutWhenTheDaemonHangs() throws IOException {
        try (StandInDaemon daemon = new StandInDaemon()) {
            CommandResult result = submit(daemon, "--base", "3", "--timeout", "50ms");
            assertEquals(ExitCode.TIMEOUT, result.exit());
            assertTrue(result.err().contains("may have been accepted"), result.err());
        }
    }

    /** Guards against a refused connection that is reported as an internal error or as an unknown outcome. */
    @Test
    void reportsARefusedConnection() throws IOException {
        StandInDaemon daemon = new StandInDaemon();
        daemon.close();
        CommandResult result = submit(daemon, "--base", "3");
        assertEquals(ExitCode.UNAVAILABLE, result.exit(), result.err());
        assertTrue(result.err().startsWith("error: connection_lost: Cannot connect"), result.err());
    }

    /** Guards against a stack trace when a response cannot be decoded. */
    @ParameterizedTest
    @ValueSource(strings = {"", "{", "[]", "<html>", "{\"moves\":[{\"phase\":\"x\"}]}"})
    void reportsUnreadableResponses(String body) {
        try (StandInDaemon daemon = new StandInDaemon().respond("GET /v1/moves", 200, body)) {
            CommandResult result = CommandResult.run("moves", "--node", daemon.address(), "--output", "json");
            assertEquals(ExitCode.INTERNAL, result.exit(), result.err());
            assertTrue(result.err().startsWith("{\"code\":\"internal\""), result.err());
        }
    }

    /** Guards against invalid command lines that are accepted. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "deploy",
                "status extra",
                "check",
                "submit a.json",
                "submit missing.json --base 1",
                "submit a.json --base -1",
                "submit a.json --base 99999999999999999999",
                "status --base 1",
                "status --node nowhere",
                "status --node a:1 --node b:2",
                "status --output yaml",
                "status --timeout 5",
                "status --unknown",
                "status --out json",
                "check a.json --together --settings"
            })
    void rejectsInvalidCommandLines(String command) {
        CommandResult result = CommandResult.run(command.isEmpty() ? new String[0] : command.split(" "));
        assertEquals(ExitCode.USAGE, result.exit(), result.err());
        assertTrue(result.err().startsWith("error: " + ErrorCode.USAGE.code()), result.err());
    }

    private CommandResult submit(StandInDaemon daemon, String... options) throws IOException {
        Path file = Files.writeString(folder.resolve("a.json"), SECTION);
        String[] command = new String[4 + options.length];
        command[0] = "submit";
        command[1] = file.toString();
        command[2] = "--node";
        command[3] = daemon.address();
        System.arraycopy(options, 0, command, 4, options.length);
        return CommandResult.run(command);
    }
}

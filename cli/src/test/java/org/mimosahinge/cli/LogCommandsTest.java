package org.mimosahinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against logs from which the cause of a request's failure cannot be found by its id. */
class LogCommandsTest {

    private static final String FIRST_NODE =
            """
            12.001 n1: time=2026-12-04T14:00:01Z level=INFO component=call event=attempt_failed request=q1 endpoint=i-1 node=n2 code=overloaded load_permille=1250 reason="Queue is too long for the deadline"
            time=2026-12-04T14:00:02Z level=INFO component=call event=refused request=q1 route=r code=overloaded config=6 reason="Queue is too long for the deadline"
            time=2026-12-04T14:00:03Z level=INFO component=call event=failed request=q2 route=r code=connection_lost reason="said \\"bye\\""
            time=2026-12-04T14:00:04Z level=WARNING component=log event=lines_left_out of=refused count=7
            not a line of a node
            time=2026-12-04T14:00:05Z level=INFO component=call event=caller_left request=q3 ms=120
            """;

    private static final String SECOND_NODE =
            """
            time=2026-12-04T14:00:00Z level=INFO component=fleet event=endpoint_state endpoint=i-1 state=GONE cause=report
            time=2026-12-04T14:00:00Z level=INFO component=fleet event=update_applied version=6 before=5
            time=2026-12-04T14:00:00.9Z level=INFO component=gate event=not_admitted request=q1 endpoint=i-1 waiting=9
            time=2026-12-04T14:00:06Z level=INFO component=move event=move_published service=shop to=v2 phase=TAKEN_BACK
            """;

    @TempDir
    private Path folder;

    private CommandResult run(String command) throws IOException {
        Path first = Files.writeString(folder.resolve("n1.log"), FIRST_NODE);
        Path second = Files.writeString(folder.resolve("n2.log"), SECOND_NODE);
        return CommandResult.run((command + ' ' + first + ' ' + second).split(" "));
    }

    @ParameterizedTest(name = "{0}: {1} lines, {2}")
    @CsvSource({
        "q1, 3, cause: refused under overload",
        "q2, 1, cause: the backend server or the node beside it went away",
        "q3, 1, cause: the caller left after 120 ms",
        "q9, 0, cause: no line names this request"
    })
    void explainsARequest(String request, int expectedLines, String cause) throws IOException {
        CommandResult result = run("explain --request " + request);
        assertEquals(ExitCode.OK, result.exit(), result.err());
        assertEquals(
                expectedLines,
                result.out().lines().filter(line -> line.startsWith("2026")).count(),
                result.out());
        assertTrue(result.out().contains(cause), result.out());
        assertTrue(result.out().contains("left out: 7 lines of event refused"), result.out());
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource({
        "--endpoint i-1, state=GONE",
        "--version 6, before=5",
        "--move shop, phase=TAKEN_BACK",
    })
    void listsTheEventsOfASubject(String subject, String expected) throws IOException {
        CommandResult result = run("timeline " + subject);
        assertEquals(ExitCode.OK, result.exit(), result.err());
        assertTrue(result.out().contains(expected), result.out());
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource({
        "explain, explain needs --request ID",
        "timeline, timeline needs one of",
        "timeline --version 1 --move m, timeline needs one of",
        "explain --request q1 /no/such/file, Cannot read /no/such/file"
    })
    void rejectsIncompleteArguments(String command, String expected) {
        CommandResult result = CommandResult.run(command.split(" "));
        assertEquals(ExitCode.USAGE, result.exit());
        assertTrue(result.err().contains(expected), result.err());
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({"explain --request q2 --output json, said \\\"bye\\\""})
    void printsJson(String command, String expected) throws IOException {
        CommandResult result = run(command);
        assertEquals(ExitCode.OK, result.exit(), result.err());
        assertTrue(result.out().contains(expected), result.out());
    }
}

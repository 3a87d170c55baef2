package org.mimosahinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.world.HostPort;

class SubmitCommandTest {
    private static final String SECTION = "// new\n{\"team\": \"a\"}";

    @TempDir
    private Path folder;

    /** Guards against --wait returning before the version is in force on every node, or failing on one error response. */
    @ParameterizedTest
    @CsvSource({"6, 2, 2, 200", "7, 1, 2, 200", "7, 0, 0, 200", "7, 2, 2, 503"})
    void waitsUntilInForceEverywhere(int version, int inForce, int nodes, int httpStatus) throws IOException {
        String first = httpStatus == 200
                ? status(version, inForce, nodes)
                : "{\"code\":\"not_ready\",\"message\":\"Starting\"}";
        try (StandInDaemon daemon = new StandInDaemon()
                .respond("PUT /v1/sections/a?base=3", 200, "{\"version\":7,\"revision\":4,\"team\":\"a\"}")
                .respond("GET /v1/status", httpStatus, first)
                .respond("GET /v1/status", 200, status(8, 3, 3))) {
            Path file = Files.writeString(folder.resolve("a.json"), SECTION);
            CommandResult result =
                    CommandResult.run("submit", file.toString(), "--base", "3", "--wait", "--node", daemon.address());
            assertEquals("", result.err());
            assertEquals(
                    List.of("version=7", "revision=4", "version 8 in force on 3 of 3"),
                    result.out().lines().toList());
            assertEquals(SECTION, new String(daemon.requests().get(0).body(), StandardCharsets.UTF_8));
            assertEquals(3, daemon.requests().size());
        }
    }

    /** Guards against API keys that are sent in clear. */
    @Test
    void submitsHashesInsteadOfKeys() throws IOException {
        try (StandInDaemon daemon = new StandInDaemon()
                .respond("PUT /v1/sections/a?base=3", 200, "{\"version\":7,\"revision\":4,\"team\":\"a\"}")) {
            String section = "{\"team\": \"a\", \"organisations\": [{\"name\": \"o\", \"keys\": [\"secret\"]}]}";
            Path file = Files.writeString(folder.resolve("a.json"), section);
            CommandResult.run("submit", file.toString(), "--base", "3", "--node", daemon.address());
            String sent = new String(daemon.requests().get(0).body(), StandardCharsets.UTF_8);
            assertTrue(sent.contains("\"o\"") && !sent.contains("secret"), sent);
        }
    }

    /** Guards against a wait that reports success although a node does not apply the version. */
    @Test
    void reportsTheAcceptedVersionWhenTheWaitTimesOut() {
        AtomicLong now = new AtomicLong();
        Deadline deadline = Deadline.in(Duration.ofMinutes(1), now::get, time -> now.addAndGet(time.toNanos()));
        try (StandInDaemon daemon = new StandInDaemon().respond("GET /v1/status", 200, status(7, 1, 2));
                LazyClient client = new LazyClient(HostPort.parse(daemon.address()))) {
            Invocation invocation = new Invocation(Options.parse("submit"), List.of(), client, deadline, report -> {});
            CommandTimeoutException failure =
                    assertThrows(CommandTimeoutException.class, () -> SubmitCommand.awaitInForce(invocation, 7));
            assertEquals(
                    "Version 7 is accepted but not yet in force everywhere; version 7 in force on 1 of 2",
                    failure.getMessage());
            assertEquals(300, daemon.requests().size());
        }
    }

    private static String status(long version, int inForce, int nodes) {
        return ("{\"node\":\"n\",\"version\":%d,\"ready\":true,\"inForce\":%d,\"nodes\":%d,"
                        + "\"zone\":\"z\",\"region\":\"r\"}")
                .formatted(version, inForce, nodes);
    }
}

package org.mimosahinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FileChecksTest {
    private static final String SETTINGS =
            """
            "nodeId": "n1", "zone": "z", "region": "r", "storeRegion": "r",
            "callerAddress": "10.0.0.7:8080", "peerAddress": "10.0.0.7:7070",
            "operatorAddress": "10.0.0.7:9090", "platformAddress": "10.0.0.1:8000"}
            """;

    @TempDir
    private Path folder;

    /**
     * Guards against an invalid file that hides the problems of another, and against checks across files without
     * {@code --together}.
     */
    @ParameterizedTest
    @CsvSource(
            quoteCharacter = '`',
            value = {
                "good.json; ; OK",
                "dangling.json; ; OK",
                "bad.json good.json unknown.json; bad.json:1:10: invalid_value at team|unknown.json:1:15: unknown_field at x; INVALID_DOCUMENT",
                "good.json dangling.json --together; dangling.json:3:48: dangling_reference at routes[0].service; INVALID_DOCUMENT",
                "good.json again.json --together; again.json:1:10: duplicate_name at team; INVALID_DOCUMENT",
                "node.json --settings; ; OK",
                "unit.json --settings; unit.json:2:15: invalid_value at heartbeat; INVALID_DOCUMENT"
            },
            delimiter = ';')
    void checksEveryFile(String command, String expected, ExitCode exit) throws IOException {
        Files.writeString(folder.resolve("good.json"), "{\"team\": \"a\"}");
        Files.writeString(folder.resolve("node.json"), "{" + SETTINGS);
        Files.writeString(folder.resolve("unit.json"), "{\n \"heartbeat\": 1, " + SETTINGS);
        Files.writeString(folder.resolve("again.json"), "{\"team\": \"a\"}");
        Files.writeString(folder.resolve("bad.json"), "{\"team\": 1}");
        Files.writeString(folder.resolve("unknown.json"), "{\"team\": \"c\", \"x\": 1}");
        Files.writeString(
                folder.resolve("dangling.json"),
                """
                {"team": "b",
                 "routes": [
                  {"name": "r", "pathPrefix": "/r", "service": "s",
                   "callClass": "batch", "timeout": "1s"}]}
                """);
        String[] words = Arrays.stream(("check " + command).split(" "))
                .map(word -> word.endsWith(".json") ? folder.resolve(word).toString() : word)
                .toArray(String[]::new);
        CommandResult result = CommandResult.run(words);
        assertEquals(exit, result.exit(), result.err());
        List<String> problems = expected == null ? List.of() : List.of(expected.split("\\|"));
        List<String> lines =
                result.err().lines().map(line -> line.replace(folder + "/", "")).toList();
        assertEquals(problems.size(), lines.size(), result.err());
        for (int i = 0; i < problems.size(); i++) {
            assertTrue(lines.get(i).startsWith(problems.get(i)), result.err());
        }
    }

    /** Guards against help text that omits a verb or an exit code. */
    @Test
    void helpNamesEveryVerbAndExitCode() {
        CommandResult result = CommandResult.run("--help");
        assertEquals(ExitCode.OK, result.exit());
        Verbs.names().forEach(verb -> assertTrue(result.out().contains("\n  " + verb), verb));
        for (ExitCode code : ExitCode.values()) {
            assertTrue(result.out().contains("\n  " + code.status() + "  " + code.meaning()), code.name());
        }
    }
}

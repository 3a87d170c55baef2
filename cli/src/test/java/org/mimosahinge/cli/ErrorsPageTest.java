package org.mimosahinge.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.mimosahinge.api.error.ErrorCode;

class ErrorsPageTest {
    private static final Path PAGE = Path.of("..", "docs", "errors.md");

    /** Guards against an error code that docs/errors.md omits or lists with the wrong HTTP status or exit code. */
    @ParameterizedTest
    @EnumSource
    void listsTheCode(ErrorCode code) throws IOException {
        List<List<String>> rows = rows().stream()
                .filter(row -> row.get(0).equals("`" + code.code() + "`"))
                .toList();
        assertEquals(1, rows.size());
        List<String> row = rows.get(0);
        assertEquals(5, row.size());
        assertEquals(String.valueOf(code.httpStatus()), row.get(1));
        assertEquals(String.valueOf(ExitCode.of(code).status()), row.get(2));
        assertFalse(row.get(3).isEmpty());
        assertFalse(row.get(4).isEmpty());
    }

    /** Guards against rows of error codes that no longer exist. */
    @Test
    void listsNothingElse() throws IOException {
        assertEquals(ErrorCode.values().length, rows().size());
    }

    private static List<List<String>> rows() throws IOException {
        return Files.readAllLines(PAGE).stream()
                .filter(line -> line.startsWith("| `"))
                .map(line -> Arrays.stream(line.substring(1).split("\\|"))
                        .map(String::strip)
                        .toList())
                .toList();
    }
}

package org.mimosahinge.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/**
 * Result of one run of the client.
 *
 * @param exit the exit code
 * @param out standard output
 * @param err standard error
 */
record CommandResult(ExitCode exit, String out, String err) {
    static CommandResult run(String... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        ExitCode exit = Mimosahinge.run(
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8),
                arguments);
        return new CommandResult(exit, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }
}

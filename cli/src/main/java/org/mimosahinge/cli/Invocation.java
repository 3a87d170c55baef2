package org.mimosahinge.cli;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.mimosahinge.api.operator.Status;

/**
 * One run of a verb.
 *
 * @param options the options of the command line
 * @param arguments the positional arguments after the verb
 * @param client supplies the client of the daemon, created on first use
 * @param deadline deadline of the whole command
 * @param output receives reports
 */
record Invocation(
        Options options,
        List<String> arguments,
        Supplier<OperatorClient> client,
        Deadline deadline,
        Consumer<Report> output) {
    /** Copies the arguments. */
    Invocation {
        arguments = List.copyOf(arguments);
    }

    <T extends Record> T get(String uri, Class<T> type) {
        return client.get().get(uri, type, deadline);
    }

    Status status() {
        return get("/v1/status", Status.class);
    }
}

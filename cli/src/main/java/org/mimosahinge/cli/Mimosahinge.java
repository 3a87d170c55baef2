package org.mimosahinge.cli;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.mimosahinge.api.error.InvalidDocumentException;
import org.mimosahinge.api.error.MimosahingeException;
import org.mimosahinge.api.error.Problem;
import org.mimosahinge.api.operator.ErrorBody;
import org.mimosahinge.api.operator.OperatorJson;

/** Entry point of the command-line client {@code mimosahinge}. */
public final class Mimosahinge {
    private final PrintStream out;
    private final PrintStream err;

    private Mimosahinge(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /**
     * Runs the client and exits the process with its exit code.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        // Netty would otherwise pick SLF4J, which prints a warning when it finds no logger.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        PrintStream out = new PrintStream(new FileOutputStream(FileDescriptor.out), true, StandardCharsets.UTF_8);
        PrintStream err = new PrintStream(new FileOutputStream(FileDescriptor.err), true, StandardCharsets.UTF_8);
        System.exit(run(out, err, arguments).status());
    }

    /**
     * Runs one command.
     *
     * @param out receives reports (standard output)
     * @param err receives errors (standard error)
     * @param arguments the command line
     * @return the exit code
     */
    public static ExitCode run(PrintStream out, PrintStream err, String... arguments) {
        return new Mimosahinge(out, err).run(arguments);
    }

    private ExitCode run(String... arguments) {
        boolean json = false;
        try {
            Options options = Options.parse(arguments);
            json = options.json();
            return run(options, json);
        } catch (MimosahingeException e) {
            printFailure(e, json);
            return ExitCode.of(e.code());
        }
    }

    private ExitCode run(Options options, boolean json) {
        if (options.has("help")) {
            Help.lines().forEach(out::println);
            return ExitCode.OK;
        }
        List<String> positionalArguments = options.positionalArguments();
        Verb verb = positionalArguments.stream()
                .findFirst()
                .flatMap(Verbs::find)
                .orElseThrow(() -> new UsageException((positionalArguments.isEmpty()
                                ? "No verb"
                                : "Unknown verb \"" + positionalArguments.get(0) + "\"")
                        + ", expected one of " + String.join(", ", Verbs.names()) + "; see --help"));
        List<String> verbArguments = positionalArguments.subList(1, positionalArguments.size());
        verb.checkUsage(options, verbArguments);
        AtomicReference<ExitCode> exit = new AtomicReference<>(ExitCode.OK);
        Consumer<Report> output = report -> {
            print(report, json);
            exit.set(report.exit());
        };
        try (LazyClient client = new LazyClient(options.node())) {
            verb.action().run(new Invocation(options, verbArguments, client, options.deadline(), output));
        }
        return exit.get();
    }

    private void print(Report report, boolean json) {
        if (json) {
            out.println(new String(OperatorJson.encode(report.body()), StandardCharsets.UTF_8));
        } else {
            report.lines().forEach(out::println);
        }
    }

    private void printFailure(MimosahingeException failure, boolean json) {
        ErrorBody body = failure instanceof RefusedException refused ? refused.body() : ErrorBody.of(failure);
        if (json) {
            err.println(new String(OperatorJson.encode(body), StandardCharsets.UTF_8));
            return;
        }
        List<Problem> problems =
                failure instanceof InvalidDocumentException invalid ? invalid.problems() : body.problems();
        if (problems.isEmpty()) {
            err.println("error: " + body.code() + ": " + body.message());
        } else {
            problems.forEach(err::println);
        }
    }
}

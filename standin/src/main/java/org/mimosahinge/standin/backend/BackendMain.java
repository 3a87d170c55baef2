package org.mimosahinge.standin.backend;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.net.log.KeyValueFormatter;

/** Runs one backend server as a process; SIGTERM stops it gracefully. */
public final class BackendMain {

    /** Exit status after a crash by a request with the crash marker: that of a process ended by SIGABRT. */
    private static final int CRASH_STATUS = 134;

    private final OptionParser parser = new OptionParser();
    private final OptionSpec<String> service = text("service").required();
    private final OptionSpec<String> version = text("version").required();
    private final OptionSpec<String> listen = text("listen").required();
    private final OptionSpec<String> node = text("node");
    private final OptionSpec<String> resources = text("resource");
    private final OptionSpec<Integer> slots = number("slots", 20);
    private final OptionSpec<Integer> connections = number("connections", 130);
    private final OptionSpec<Integer> coldStartMs = number("cold-start-ms", 0);
    private final OptionSpec<Integer> minimumDrainMs = number("minimum-drain-ms", 3_000);
    private final OptionSpec<Integer> latencyMs = number("latency-ms", 0);
    private final OptionSpec<Integer> errorPermille = number("error-permille", 0);
    private final OptionSpec<Integer> shedAbove = number("shed-above", 0);
    private final OptionSpec<Integer> truncateAfterBytes = number("truncate-after-bytes", 0);
    private final OptionSpec<String> crashMarker = text("crash-marker").defaultsTo("");
    private final OptionSpec<Integer> seed = number("seed", 1);

    private BackendMain() {}

    private joptsimple.ArgumentAcceptingOptionSpec<String> text(String name) {
        return parser.accepts(name).withRequiredArg();
    }

    private OptionSpec<Integer> number(String name, int fallback) {
        return parser.accepts(name).withRequiredArg().ofType(Integer.class).defaultsTo(fallback);
    }

    private BackendSettings settings(OptionSet options) {
        BackendSettings.Builder builder = BackendSettings.of(options.valueOf(service), options.valueOf(version))
                .listen(HostPort.parse(options.valueOf(listen)))
                .slots(options.valueOf(slots))
                .connections(options.valueOf(connections))
                .resources(Set.copyOf(options.valuesOf(resources)))
                .coldStart(Duration.ofMillis(options.valueOf(coldStartMs)))
                .minimumDrain(Duration.ofMillis(options.valueOf(minimumDrainMs)))
                .seed(options.valueOf(seed));
        if (options.has(node)) {
            builder.node(HostPort.parse(options.valueOf(node)));
        }
        return builder.build();
    }

    private Behaviour behaviour(OptionSet options) {
        return new Behaviour(
                options.valueOf(latencyMs),
                options.valueOf(errorPermille),
                options.valueOf(shedAbove),
                options.valueOf(truncateAfterBytes),
                options.valueOf(crashMarker),
                false);
    }

    /**
     * Runs the server until the process is stopped.
     *
     * @param arguments {@code --service}, {@code --version} and {@code --listen}, then options that set the behaviour
     * @throws InterruptedException when the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        BackendMain command = new BackendMain();
        OptionSet options = command.parser.parse(arguments);
        KeyValueFormatter.install(Level.INFO);
        BackendStandin standin =
                BackendStandin.start(command.settings(options), command.behaviour(options), () -> Runtime.getRuntime()
                        .halt(CRASH_STATUS));
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            standin.drain().toCompletableFuture().join();
                            standin.close();
                        },
                        "graceful-stop"));
        new CountDownLatch(1).await();
    }
}

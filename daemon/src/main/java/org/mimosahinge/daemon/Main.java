package org.mimosahinge.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.mimosahinge.api.document.SettingsParser;
import org.mimosahinge.api.error.MimosahingeException;
import org.mimosahinge.api.settings.NodeSettings;
import org.mimosahinge.net.log.KeyValueFormatter;

/** Entry point of {@code mimosahinged}. */
public final class Main {

    private static final int EXIT_USAGE = 2;
    private static final int EXIT_INVALID_SETTINGS = 3;

    private Main() {}

    /**
     * Runs the daemon until it is terminated.
     *
     * @param args command line
     * @throws IOException when the help cannot be printed
     * @throws InterruptedException when the main thread is interrupted
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        OptionParser parser = new OptionParser();
        OptionSpec<String> settingsFile = parser.accepts("settings", "settings file, JSON with comments")
                .withRequiredArg()
                .required();
        OptionSpec<String> logLevel = parser.accepts("log-level", "minimum log level")
                .withRequiredArg()
                .defaultsTo("INFO");
        parser.accepts("help", "show this help").forHelp();
        OptionSet options;
        try {
            options = parser.parse(args);
        } catch (OptionException e) {
            System.err.println(e.getMessage());
            parser.printHelpOn(System.err);
            System.exit(EXIT_USAGE);
            return;
        }
        if (options.has("help")) {
            parser.printHelpOn(System.out);
            return;
        }
        KeyValueFormatter.install(Level.parse(options.valueOf(logLevel)));
        run(readSettings(Path.of(options.valueOf(settingsFile))));
    }

    private static NodeSettings readSettings(Path file) {
        try {
            return SettingsParser.parse(file.toString(), Files.readAllBytes(file));
        } catch (IOException e) {
            System.err.println("Cannot read " + file + ": " + e.getMessage());
        } catch (MimosahingeException e) {
            System.err.println(e.getMessage());
        }
        System.exit(EXIT_INVALID_SETTINGS);
        throw new AssertionError("unreachable");
    }

    private static void run(NodeSettings settings) throws InterruptedException {
        CountDownLatch stopped = new CountDownLatch(1);
        Daemon daemon = Daemon.start(settings);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            daemon.close();
                            stopped.countDown();
                        },
                        "shutdown"));
        stopped.await();
    }
}

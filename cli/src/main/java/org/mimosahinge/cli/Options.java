package org.mimosahinge.cli;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.mimosahinge.api.document.Durations;
import org.mimosahinge.api.error.InvalidAddressException;
import org.mimosahinge.api.world.HostPort;

/** Parsed command line: options and positional arguments. */
final class Options {
    /** Options that every verb accepts. */
    static final Set<String> COMMON = Set.of("node", "output", "timeout", "help");

    private static final String DEFAULT_NODE = "127.0.0.1:9090";
    private static final Map<String, Boolean> JSON_BY_FORMAT = Map.of("text", false, "json", true);
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);

    private final OptionSet parsed;

    private Options(OptionSet parsed) {
        this.parsed = parsed;
    }

    static Options parse(String... arguments) {
        // No abbreviations: a new option could change the meaning of an existing abbreviation.
        OptionParser parser = new OptionParser(false);
        parser.accepts("node").withRequiredArg();
        parser.accepts("output").withRequiredArg();
        parser.accepts("timeout").withRequiredArg();
        parser.accepts("help");
        parser.accepts("base").withRequiredArg();
        parser.accepts("wait");
        parser.accepts("together");
        parser.accepts("settings");
        parser.accepts("review");
        parser.accepts("against").withRequiredArg();
        parser.accepts("request").withRequiredArg();
        parser.accepts("endpoint").withRequiredArg();
        parser.accepts("version").withRequiredArg();
        parser.accepts("move").withRequiredArg();
        try {
            return new Options(parser.parse(arguments));
        } catch (OptionException e) {
            throw new UsageException(e.getMessage());
        }
    }

    List<String> positionalArguments() {
        return parsed.nonOptionArguments().stream().map(String::valueOf).toList();
    }

    /** Returns the names of the options present on the command line. */
    Set<String> givenNames() {
        return parsed.asMap().keySet().stream()
                .map(spec -> spec.options().get(0))
                .filter(parsed::has)
                .collect(Collectors.toSet());
    }

    boolean has(String name) {
        return parsed.has(name);
    }

    boolean json() {
        String format = value("output").orElse("text");
        if (!JSON_BY_FORMAT.containsKey(format)) {
            throw new UsageException("--output is \"" + format + "\", expected text or json");
        }
        return JSON_BY_FORMAT.get(format);
    }

    HostPort node() {
        String address = value("node").orElse(DEFAULT_NODE);
        try {
            return HostPort.parse(address);
        } catch (InvalidAddressException e) {
            throw new UsageException("--node: " + e.getMessage());
        }
    }

    Optional<Duration> timeout() {
        return value("timeout").map(text -> Durations.parse(text)
                .orElseThrow(() -> new UsageException(
                        "--timeout is \"" + text + "\", expected a number with a unit, such as 500ms, 10s or 1m")));
    }

    Deadline deadline() {
        return Deadline.in(timeout().orElse(DEFAULT_TIMEOUT));
    }

    long base() {
        String text =
                value("base").orElseThrow(() -> new UsageException("submit needs --base REV; 0 for a new section"));
        // 18 digits fit into a long and are more than any revision of a table service needs.
        if (!text.matches("[0-9]{1,18}")) {
            throw new UsageException("--base is \"" + text + "\", expected a revision");
        }
        return Long.parseLong(text);
    }

    /** Returns the argument of an option, empty if the option is not given. */
    Optional<String> text(String name) {
        return value(name);
    }

    private Optional<String> value(String name) {
        List<?> values = parsed.valuesOf(name);
        if (values.size() > 1) {
            throw new UsageException("--" + name + " is given more than once");
        }
        return values.stream().map(String::valueOf).findFirst();
    }
}

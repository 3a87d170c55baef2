package org.mimosahinge.cli;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/** All verbs of the client. */
final class Verbs {
    private static final int UNBOUNDED = Integer.MAX_VALUE;

    /** The verbs in the order of the help text. */
    static final List<Verb> ALL = List.of(
            new Verb(
                    "check",
                    "FILE... [--together | --settings] [--review] [--against FILE]",
                    "check sections offline; --together as one document, --settings as daemon settings, --review also"
                            + " for entries that have no effect, --against for what differs from a document in force",
                    1,
                    UNBOUNDED,
                    Set.of("together", "settings", "review", "against"),
                    FileChecks::check),
            new Verb(
                    "submit",
                    "FILE --base REV [--wait]",
                    "submit a section based on revision REV (0 for a new one); --wait until in force everywhere",
                    1,
                    1,
                    Set.of("base", "wait"),
                    SubmitCommand::submit),
            new Verb("status", "", "show what is in force and where", 0, 0, Set.of(), DaemonCommands::status),
            new Verb(
                    "document",
                    "[TEAM]",
                    "show the document, or one section in a form that submit accepts",
                    0,
                    1,
                    Set.of(),
                    DaemonCommands::document),
            new Verb("moves", "", "show moves and why each was taken back", 0, 0, Set.of(), DaemonCommands::moves),
            new Verb("nodes", "", "show the nodes", 0, 0, Set.of(), DaemonCommands::nodes),
            new Verb("endpoints", "", "show the endpoints", 0, 0, Set.of(), DaemonCommands::endpoints),
            new Verb(
                    "drain",
                    "ENDPOINT",
                    "stop routing new calls to an endpoint",
                    1,
                    1,
                    Set.of(),
                    DaemonCommands::drain),
            new Verb(
                    "explain",
                    "--request ID [FILE...]",
                    "show the log lines of nodes about a request and why it failed; reads standard input without FILE",
                    0,
                    UNBOUNDED,
                    Set.of("request"),
                    LogCommands::explain),
            new Verb(
                    "timeline",
                    "--endpoint ID | --version NUMBER | --move SERVICE [FILE...]",
                    "show the log lines of nodes about an endpoint, a configuration version or a move",
                    0,
                    UNBOUNDED,
                    Set.of("endpoint", "version", "move"),
                    LogCommands::timeline),
            new Verb(
                    "watch",
                    "",
                    "report changes of status and moves until stopped",
                    0,
                    0,
                    Set.of(),
                    WatchCommand::watch));

    private Verbs() {}

    static Optional<Verb> find(String name) {
        return ALL.stream().filter(verb -> verb.name().equals(name)).findFirst();
    }

    static List<String> names() {
        return ALL.stream().map(Verb::name).toList();
    }
}

package org.mimosahinge.cli;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.mimosahinge.api.document.SectionParser;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.MimosahingeException;
import org.mimosahinge.api.operator.DocumentView;
import org.mimosahinge.api.operator.DocumentView.SectionView;
import org.mimosahinge.api.operator.EndpointList;
import org.mimosahinge.api.operator.ErrorBody;
import org.mimosahinge.api.operator.MoveList;
import org.mimosahinge.api.operator.NodeList;
import org.mimosahinge.api.operator.Status;
import org.mimosahinge.api.world.EndpointState;

/** Verbs that send a request to the daemon and report its response. */
final class DaemonCommands {
    private DaemonCommands() {}

    /**
     * JSON output of {@code drain}.
     *
     * @param endpoint id of the endpoint
     * @param state state of the endpoint
     */
    record DrainResult(String endpoint, EndpointState state) {}

    static void status(Invocation invocation) {
        Status status = invocation.status();
        List<String> lines = new ArrayList<>();
        lines.add(formatInForce(status));
        if (!invocation.options().json()) {
            lines.addAll(zoneLines(invocation, status.version()));
        }
        lines.add("answered by " + status.node() + " in zone " + status.zone() + ", region " + status.region()
                + (status.ready() ? ", ready" : ", not ready"));
        invocation.output().accept(new Report(status, lines));
    }

    static String formatInForce(Status status) {
        return "version " + status.version() + " in force on " + status.inForce() + " of " + status.nodes();
    }

    // The daemon reads the list of nodes from the platform; status must work during platform outages too.
    private static List<String> zoneLines(Invocation invocation, long version) {
        try {
            return formatZones(invocation.get("/v1/nodes", NodeList.class), version);
        } catch (MimosahingeException e) {
            if (ExitCode.of(e.code()) != ExitCode.UNAVAILABLE) {
                throw e;
            }
            return List.of("  zones not known: " + e.code().code() + ": " + e.getMessage());
        }
    }

    private static List<String> formatZones(NodeList list, long version) {
        Map<String, List<NodeList.Entry>> zones = list.nodes().stream()
                .collect(Collectors.groupingBy(
                        node -> node.region() + "/" + node.zone(), TreeMap::new, Collectors.toList()));
        return zones.entrySet().stream()
                .map(zone -> "  " + zone.getKey() + ": "
                        + zone.getValue().stream()
                                .filter(node -> node.version() == version)
                                .count()
                        + " of " + zone.getValue().size())
                .toList();
    }

    static void document(Invocation invocation) {
        DocumentView document = invocation.get("/v1/document", DocumentView.class);
        if (invocation.arguments().isEmpty()) {
            List<String> lines = new ArrayList<>(List.of("// version " + document.version()));
            document.sections().forEach(section -> lines.addAll(formatSection(section)));
            invocation.output().accept(new Report(document, lines));
            return;
        }
        String team = invocation.arguments().get(0);
        SectionView section = document.sections().stream()
                .filter(candidate -> candidate.team().equals(team))
                .findFirst()
                .orElseThrow(() -> new RefusedException(new ErrorBody(
                        ErrorCode.NOT_FOUND.code(),
                        "No section of team \"" + team + "\" in version " + document.version(),
                        "",
                        "",
                        "",
                        0,
                        0,
                        List.of())));
        invocation.output().accept(new Report(section, formatSection(section)));
    }

    private static List<String> formatSection(SectionView section) {
        List<String> lines = new ArrayList<>(List.of("// team " + section.team() + ", revision " + section.revision()));
        String json = new String(SectionParser.toJson(section.content()), StandardCharsets.UTF_8);
        lines.addAll(PrettyJson.lines(json));
        return lines;
    }

    static void moves(Invocation invocation) {
        reportTable(
                invocation,
                invocation.get("/v1/moves", MoveList.class),
                MoveList::moves,
                List.of("SERVICE", "FROM", "TO", "SHARE", "PHASE", "SINCE", "REASON"),
                move -> List.of(
                        move.service(),
                        move.from(),
                        move.to(),
                        formatShare(move),
                        lowerCaseName(move.phase()),
                        move.since(),
                        move.reason()));
    }

    static void nodes(Invocation invocation) {
        reportTable(
                invocation,
                invocation.get("/v1/nodes", NodeList.class),
                NodeList::nodes,
                List.of("ID", "REGION", "ZONE", "ADDRESS", "VERSION", "READY"),
                node -> List.of(node.id(), node.region(), node.zone(), node.address(), node.version(), node.ready()));
    }

    static void endpoints(Invocation invocation) {
        reportTable(
                invocation,
                invocation.get("/v1/endpoints", EndpointList.class),
                EndpointList::endpoints,
                List.of("ID", "SERVICE", "VERSION", "NODE", "ZONE", "STATE", "SLOTS", "CONNECTIONS"),
                endpoint -> List.of(
                        endpoint.id(),
                        endpoint.service(),
                        endpoint.version(),
                        endpoint.node(),
                        endpoint.zone(),
                        lowerCaseName(endpoint.state()),
                        endpoint.slots(),
                        endpoint.connections()));
    }

    private static <T extends Record, E> void reportTable(
            Invocation invocation,
            T body,
            Function<T, List<E>> items,
            List<String> header,
            Function<E, List<Object>> cells) {
        invocation.output().accept(new Report(body, Table.lines(header, items.apply(body), cells)));
    }

    static void drain(Invocation invocation) {
        String endpoint = invocation.arguments().get(0);
        invocation.client().get().drain(endpoint, invocation.deadline());
        invocation
                .output()
                .accept(Report.of(new DrainResult(endpoint, EndpointState.DRAINING), "draining " + endpoint));
    }

    static String formatShare(MoveList.Entry move) {
        return move.sharePermille() / 10 + "." + move.sharePermille() % 10 + "%";
    }

    static String lowerCaseName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}

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

/** Verbs that show one answer of the daemon. */
final class Views {
    private Views() {}

    /**
     * Body of the report of {@code drain}.
     *
     * @param endpoint the endpoint
     * @param state its state
     */
    record Drained(String endpoint, EndpointState state) {}

    static void status(Invocation call) {
        Status status = call.status();
        List<String> lines = new ArrayList<>();
        lines.add(inForce(status));
        if (!call.options().json()) {
            lines.addAll(zoneLines(call, status.version()));
        }
        lines.add("answered by " + status.node() + " in zone " + status.zone() + ", region " + status.region()
                + (status.ready() ? ", ready" : ", not ready"));
        call.output().accept(new Report(status, lines));
    }

    static String inForce(Status status) {
        return "version " + status.version() + " in force on " + status.inForce() + " of " + status.nodes();
    }

    // The list of nodes comes from the platform, but the status must be shown during its outages too.
    private static List<String> zoneLines(Invocation call, long version) {
        try {
            return byZone(call.get("/v1/nodes", NodeList.class), version);
        } catch (MimosahingeException e) {
            if (ExitCode.of(e.code()) != ExitCode.UNAVAILABLE) {
                throw e;
            }
            return List.of("  zones not known: " + e.code().code() + ": " + e.getMessage());
        }
    }

    private static List<String> byZone(NodeList list, long version) {
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

    static void document(Invocation call) {
        DocumentView all = call.get("/v1/document", DocumentView.class);
        if (call.arguments().isEmpty()) {
            List<String> lines = new ArrayList<>(List.of("// version " + all.version()));
            all.sections().forEach(section -> lines.addAll(lines(section)));
            call.output().accept(new Report(all, lines));
            return;
        }
        String team = call.arguments().get(0);
        SectionView section = all.sections().stream()
                .filter(view -> view.team().equals(team))
                .findFirst()
                .orElseThrow(() -> new RefusedException(new ErrorBody(
                        ErrorCode.NOT_FOUND.code(),
                        "No section of team \"" + team + "\" in version " + all.version(),
                        "",
                        "",
                        "",
                        0,
                        0,
                        List.of())));
        call.output().accept(new Report(section, lines(section)));
    }

    private static List<String> lines(SectionView view) {
        List<String> lines = new ArrayList<>(List.of("// team " + view.team() + ", revision " + view.revision()));
        String json = new String(SectionParser.toJson(view.content()), StandardCharsets.UTF_8);
        lines.addAll(PrettyJson.lines(json));
        return lines;
    }

    static void moves(Invocation call) {
        table(
                call,
                call.get("/v1/moves", MoveList.class),
                MoveList::moves,
                List.of("SERVICE", "FROM", "TO", "SHARE", "PHASE", "SINCE", "REASON"),
                move -> List.of(
                        move.service(),
                        move.from(),
                        move.to(),
                        share(move),
                        lower(move.phase()),
                        move.since(),
                        move.reason()));
    }

    static void nodes(Invocation call) {
        table(
                call,
                call.get("/v1/nodes", NodeList.class),
                NodeList::nodes,
                List.of("ID", "REGION", "ZONE", "ADDRESS", "VERSION", "READY"),
                node -> List.of(node.id(), node.region(), node.zone(), node.address(), node.version(), node.ready()));
    }

    static void endpoints(Invocation call) {
        table(
                call,
                call.get("/v1/endpoints", EndpointList.class),
                EndpointList::endpoints,
                List.of("ID", "SERVICE", "VERSION", "NODE", "ZONE", "STATE", "SLOTS", "CONNECTIONS"),
                endpoint -> List.of(
                        endpoint.id(),
                        endpoint.service(),
                        endpoint.version(),
                        endpoint.node(),
                        endpoint.zone(),
                        lower(endpoint.state()),
                        endpoint.slots(),
                        endpoint.connections()));
    }

    private static <T extends Record, E> void table(
            Invocation call, T body, Function<T, List<E>> items, List<String> header, Function<E, List<Object>> cells) {
        call.output().accept(new Report(body, Table.lines(header, items.apply(body), cells)));
    }

    static void drain(Invocation call) {
        String endpoint = call.arguments().get(0);
        call.client().get().drain(endpoint, call.deadline());
        call.output().accept(Report.of(new Drained(endpoint, EndpointState.DRAINING), "draining " + endpoint));
    }

    static String share(MoveList.Entry move) {
        return move.sharePermille() / 10 + "." + move.sharePermille() % 10 + "%";
    }

    static String lower(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}

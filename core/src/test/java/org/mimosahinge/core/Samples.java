package org.mimosahinge.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.mimosahinge.api.config.ConfigUpdate;
import org.mimosahinge.api.config.RevisedSection;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.Move;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.RouteAccess;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.contract.ServiceLimits;
import org.mimosahinge.api.contract.ServiceShare;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.BackendServer;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.LogicalTimestamp;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;
import org.mimosahinge.core.config.SnapshotBuilder;

/** Test data: sections, updates, snapshots, nodes and endpoints. */
public final class Samples {
    public static final Instant NOON = Instant.parse("2026-12-04T12:00:00Z");
    public static final AvailabilityZone ZONE = new AvailabilityZone("west-1", new Region("ch-west"));

    private Samples() {}

    public static Service service(String name) {
        return new Service(name, List.of("v1", "v2"), "v1", Optional.empty(), ServiceLimits.DEFAULT);
    }

    public static Service serviceWithMove(String name, String to) {
        Move move = new Move(to, NOON, NOON.plusSeconds(3600));
        return new Service(name, List.of("v1", "v2"), "v1", Optional.of(move), ServiceLimits.DEFAULT);
    }

    public static Route route(String prefix, String service, String... resources) {
        return new Route(
                prefix.substring(1),
                "",
                prefix,
                List.of(new ServiceShare(service, 1)),
                CallClass.INTERACTIVE,
                Duration.ofSeconds(2),
                Duration.ofSeconds(2),
                Route.DEFAULT_MAX_ATTEMPTS,
                true,
                false,
                Set.of(resources),
                RouteAccess.STANDARD);
    }

    /** Returns a section with one service and one resource named after the team, and routes to the given services. */
    public static Section section(String team, String... services) {
        List<Route> routes = Arrays.stream(services)
                .map(service -> route("/" + team + "/" + service, service, service + "-index"))
                .toList();
        return new Section(team, Set.of(team + "-index"), List.of(service(team)), routes);
    }

    public static SortedMap<String, RevisedSection> revisedSections(long revision, Section... sections) {
        SortedMap<String, RevisedSection> byTeam = new TreeMap<>();
        Arrays.stream(sections).forEach(section -> byTeam.put(section.team(), new RevisedSection(revision, section)));
        return byTeam;
    }

    public static ConfigUpdate update(long base, long version, SortedMap<String, RevisedSection> sections) {
        return new ConfigUpdate(base, version, sections, Set.of(), new TreeMap<>(), Set.of());
    }

    public static Snapshot snapshot(long version, Section... sections) {
        return SnapshotBuilder.apply(Snapshot.EMPTY, update(0, version, revisedSections(version, sections)));
    }

    public static Node node(String id, long incarnation) {
        return new Node(new NodeId(id), incarnation, ZONE, new HostPort("10.0.0.1", 7000));
    }

    public static Endpoint endpoint(String node, EndpointState state, long incarnation, long sequence) {
        BackendServer server = new BackendServer("listings", "v1", new HostPort("10.0.0.1", 8080), 20, 130, Set.of());
        return new Endpoint(
                node + "@10.0.0.1:8080",
                server,
                node(node, incarnation),
                state,
                new LogicalTimestamp(incarnation, sequence));
    }
}

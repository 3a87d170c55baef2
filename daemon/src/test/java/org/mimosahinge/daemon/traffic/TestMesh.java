package org.mimosahinge.daemon.traffic;

import com.codahale.metrics.MetricRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.UnaryOperator;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.CallerLimits;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.RouteAccess;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.contract.ServiceLimits;
import org.mimosahinge.api.contract.ServiceShare;
import org.mimosahinge.api.contract.TrafficRules;
import org.mimosahinge.api.platform.TableService;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.BackendServer;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.LogicalTimestamp;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;
import org.mimosahinge.daemon.FreePorts;

/** Traffic planes of several nodes of one zone in one process, connected by real sockets. */
final class TestMesh implements AutoCloseable {

    static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);
    static final AvailabilityZone ZONE = new AvailabilityZone("a", new Region("west"));

    final List<TrafficPlane> planes = new ArrayList<>();
    final List<TrafficEvent> events = new CopyOnWriteArrayList<>();
    final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, List<Endpoint>> endpoints = new HashMap<>();
    private final Map<String, Service> services = new HashMap<>();
    private final List<Route> routes = new ArrayList<>();
    private CallerLimits callerLimits = CallerLimits.DEFAULT;
    /** Snapshots of nodes that differ from the others. */
    final Map<NodeId, Snapshot> overrides = new ConcurrentHashMap<>();

    private volatile Snapshot snapshot = Snapshot.EMPTY;

    /** Starts the nodes; the first one is the entry node of most tests. */
    TestMesh(int count, TableService table) {
        this(count, table, 1);
    }

    TestMesh(int count, TableService table, int eventLoops) {
        this(count, table, eventLoops, CallProtocol.STANDARD, TrafficPolicies.standard());
    }

    TestMesh(int count, TableService table, int eventLoops, CallProtocol protocol, TrafficPolicies policies) {
        for (int i = 0; i < count; i++) {
            HostPort frames = new HostPort("127.0.0.1", FreePorts.next());
            Node node = new Node(new NodeId("n" + i), 1, ZONE, frames);
            TrafficPlane plane = TrafficPlane.start(
                    new TrafficConfig(node, ANY_PORT, eventLoops, protocol, new MetricRegistry(), 0),
                    () -> overrides.getOrDefault(node.id(), snapshot),
                    table,
                    events::add,
                    policies);
            plane.listenForPeers(frames);
            nodes.add(node);
            planes.add(plane);
        }
    }

    TestMesh route(Route route) {
        routes.add(route);
        services.putIfAbsent(
                route.firstService(),
                new Service(route.firstService(), List.of("v1"), "v1", Optional.empty(), ServiceLimits.DEFAULT));
        return publish(current -> current);
    }

    TestMesh endpoint(int node, String service, HostPort address, int slots) {
        return endpoint(nodes.get(node), service, address, slots);
    }

    /** Adds an endpoint on a node that the test simulates. */
    TestMesh simulatedNodeEndpoint(String service, HostPort frames, int slots) {
        return endpoint(new Node(new NodeId("silent"), 1, ZONE, frames), service, ANY_PORT, slots);
    }

    private TestMesh endpoint(Node node, String service, HostPort address, int slots) {
        endpoints
                .computeIfAbsent(service, key -> new ArrayList<>())
                .add(new Endpoint(
                        node.id() + "/" + address,
                        new BackendServer(service, "v1", address, slots, 130, Set.of()),
                        node,
                        EndpointState.READY,
                        new LogicalTimestamp(1, 1)));
        return publish(current -> current);
    }

    /** Puts changed limits for callers in force on all nodes. */
    TestMesh limits(int headerBytes, long bodyBytes) {
        callerLimits = new CallerLimits(
                headerBytes, bodyBytes, CallerLimits.DEFAULT.headerTimeout(), CallerLimits.DEFAULT.idleTimeout());
        return publish(current -> current);
    }

    /** Puts a changed snapshot in force on all nodes. */
    /** Publishes rules on the traffic of services. */
    TestMesh publish(TrafficRules rules) {
        return publish(current -> new Snapshot(
                current.version(),
                current.sections(),
                current.services(),
                current.serviceRevisions(),
                current.routes(),
                current.moves(),
                current.endpoints(),
                current.haltMarks(),
                current.provenCurrent(),
                current.callerLimits(),
                rules));
    }

    TestMesh publish(UnaryOperator<Snapshot> change) {
        Map<String, Long> revisions = new HashMap<>();
        services.keySet().forEach(service -> revisions.put(service, 1L));
        snapshot = change.apply(new Snapshot(
                1,
                new TreeMap<>(),
                services,
                revisions,
                routes,
                Map.of(),
                endpoints,
                Set.of(),
                true,
                callerLimits,
                TrafficRules.NONE));
        return this;
    }

    /** Changes the address at which one node connects to another one. */
    TestMesh overrideAddress(int from, int to, HostPort address) {
        Node target = nodes.get(to);
        Node moved = new Node(target.id(), target.incarnation(), target.zone(), address);
        Map<String, List<Endpoint>> changed = new HashMap<>();
        endpoints.forEach((service, list) -> changed.put(
                service,
                list.stream()
                        .map(endpoint -> endpoint.node().equals(target)
                                ? new Endpoint(
                                        endpoint.id(), endpoint.server(), moved, endpoint.state(), endpoint.timestamp())
                                : endpoint)
                        .toList()));
        overrides.put(
                nodes.get(from).id(),
                new Snapshot(
                        snapshot.version(),
                        snapshot.sections(),
                        snapshot.services(),
                        snapshot.serviceRevisions(),
                        snapshot.routes(),
                        snapshot.moves(),
                        changed,
                        snapshot.haltMarks(),
                        true,
                        callerLimits,
                        TrafficRules.NONE));
        return this;
    }

    /** Returns a counter of a node. */
    long count(int node, String counter) {
        return planes.get(node).context().config().registry().counter(counter).getCount();
    }

    Snapshot snapshot() {
        return snapshot;
    }

    Node node(int index) {
        return nodes.get(index);
    }

    HttpRequest.Builder request(int node, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + planes.get(node).callers() + path));
    }

    HttpResponse<String> get(String path) throws Exception {
        return http.send(request(0, path).build(), HttpResponse.BodyHandlers.ofString());
    }

    CompletableFuture<HttpResponse<String>> send(HttpRequest.Builder request) {
        return http.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> post(String path, String body, String... headers) throws Exception {
        HttpRequest.Builder request = request(0, path).POST(HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends bytes to a port and returns everything that comes back until the connection ends. */
    static String raw(HostPort address, String text) throws IOException {
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            try {
                socket.getInputStream().transferTo(received);
            } catch (SocketException e) {
                // A reset closes the connection as well.
            }
            return received.toString(StandardCharsets.ISO_8859_1);
        }
    }

    static String outcome(HttpResponse<?> response) {
        return response.statusCode() + " "
                + response.headers().firstValue("x-mimosahinge-outcome").orElse("-");
    }

    static Route route(String path, boolean idempotent, boolean atMostOnce) {
        return route(path, idempotent, atMostOnce, "svc");
    }

    static Route route(String path, boolean idempotent, boolean atMostOnce, String service) {
        return new Route(
                path,
                "",
                path,
                List.of(new ServiceShare(service, 1)),
                path.contains("check") ? CallClass.INTERNAL_CHECK : CallClass.INTERACTIVE,
                Duration.ofSeconds(30),
                Duration.ofSeconds(30),
                Route.DEFAULT_MAX_ATTEMPTS,
                idempotent,
                atMostOnce,
                Set.of(),
                RouteAccess.STANDARD);
    }

    @Override
    public void close() {
        planes.forEach(TrafficPlane::close);
    }
}

package org.mimosahinge.bench.calls;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.CallerLimits;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.RouteAccess;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.contract.ServiceLimits;
import org.mimosahinge.api.contract.ServiceShare;
import org.mimosahinge.api.contract.TrafficRules;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.BackendServer;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.LogicalTimestamp;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.Region;
import org.mimosahinge.daemon.traffic.TrafficEvent;
import org.mimosahinge.daemon.traffic.TrafficPlane;
import org.mimosahinge.daemon.traffic.TrafficPolicies;
import org.mimosahinge.net.http.HttpMessageClient;
import org.mimosahinge.net.platform.PlatformClient;
import org.mimosahinge.standin.backend.BackendSettings;
import org.mimosahinge.standin.backend.BackendStandin;
import org.mimosahinge.standin.backend.Behaviour;
import org.mimosahinge.standin.platform.Fault;
import org.mimosahinge.standin.platform.PlatformStandin;

/** Four nodes in one process, each with a traffic plane and a backend server, connected through freezable proxies. */
final class CallMesh implements AutoCloseable {

    static final String CRASH_MARKER = "poison";

    /** With the latency of a call, each endpoint serves 200 calls/s, of which 150 are available to all call classes. */
    static final int SLOTS = 4;

    private static final int CALL_LATENCY_MS = 20;
    private static final int NODE_COUNT = 4;
    private static final int ENTRY_NODE_COUNT = 2;
    private static final AvailabilityZone FIRST_ZONE = new AvailabilityZone("a", new Region("west"));

    /** Time until a change of an endpoint is assumed to have reached all nodes. */
    private static final long ENDPOINT_PROPAGATION_MS = 200;

    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(1);

    /** Time until a supervisor has restarted a backend server that has ended. */
    private static final long RESTART_DELAY_MS = 500;

    private static final String SERVICE = "shop";
    private static final List<Route> ROUTES = List.of(
            route("/browse", CallClass.INTERACTIVE, 2, false),
            route("/check", CallClass.INTERNAL_CHECK, 2, false),
            route("/files", CallClass.DOWNLOAD, 10, false),
            route("/pay", CallClass.CONFIRMATION, 2, true));

    private final NioEventLoopGroup io = new NioEventLoopGroup(1, new DefaultThreadFactory("bench-platform", true));
    private final HttpMessageClient http = HttpMessageClient.create(io, PLATFORM_TIMEOUT);
    private final PlatformStandin platform = PlatformStandin.start();
    private final ScheduledExecutorService membership =
            Executors.newSingleThreadScheduledExecutor(new DefaultThreadFactory("bench-membership", true));
    private final ScheduledExecutorService operations =
            Executors.newSingleThreadScheduledExecutor(new DefaultThreadFactory("bench-operations", true));
    private final List<CallNode> nodes = new ArrayList<>();
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final Map<String, BackendStandin> backends = new LinkedHashMap<>();
    private final Map<String, Integer> refusedConnections = new HashMap<>();
    private final Map<String, Integer> runsByKey = new HashMap<>();
    private int startedRestarts;
    private volatile Snapshot snapshot = Snapshot.EMPTY;

    private CallMesh(TrafficPolicies policies, AvailabilityZone secondZone) {
        PlatformClient tableService = PlatformClient.create(http, platform.address());
        for (int i = 0; i < NODE_COUNT; i++) {
            AvailabilityZone zone = i < ENTRY_NODE_COUNT ? FIRST_ZONE : secondZone;
            CallNode node = CallNode.start(
                    "n" + i,
                    zone,
                    config -> TrafficPlane.start(
                            config,
                            () -> snapshot,
                            tableService,
                            event -> membership.execute(() -> handleEvent(event)),
                            policies));
            nodes.add(node);
            startBackend(node.node());
        }
    }

    /** Starts two nodes that accept calls in the first zone and two more nodes in the second zone. */
    static CallMesh start(TrafficPolicies policies, AvailabilityZone secondZone) {
        return new CallMesh(policies, secondZone);
    }

    private static Route route(String path, CallClass callClass, int timeoutSeconds, boolean atMostOnce) {
        return new Route(
                path,
                "",
                path,
                List.of(new ServiceShare(SERVICE, 1)),
                callClass,
                Duration.ofSeconds(timeoutSeconds),
                Duration.ofSeconds(timeoutSeconds),
                Route.DEFAULT_MAX_ATTEMPTS,
                !atMostOnce,
                atMostOnce,
                Set.of(),
                RouteAccess.STANDARD);
    }

    private synchronized void startBackend(Node node) {
        BackendStandin backend = BackendStandin.start(
                BackendSettings.of(SERVICE, "v1").slots(SLOTS).build(),
                Behaviour.HEALTHY.withLatencyMs(CALL_LATENCY_MS).withCrashMarker(CRASH_MARKER),
                () -> {});
        String id = node.id() + "/" + backend.address();
        BackendServer server = new BackendServer(SERVICE, "v1", backend.address(), SLOTS, 130, Set.of());
        backends.put(id, backend);
        endpoints.put(id, new Endpoint(id, server, node, EndpointState.READY, new LogicalTimestamp(1, 1)));
        publish();
    }

    private void publish() {
        Service service = new Service(SERVICE, List.of("v1"), "v1", Optional.empty(), ServiceLimits.DEFAULT);
        snapshot = new Snapshot(
                1,
                new TreeMap<>(),
                Map.of(SERVICE, service),
                Map.of(SERVICE, 1L),
                ROUTES,
                Map.of(),
                Map.of(SERVICE, List.copyOf(endpoints.values())),
                Set.of(),
                true,
                CallerLimits.DEFAULT,
                TrafficRules.NONE);
    }

    /** Removes an endpoint after its death or two refused connections, as the control thread of a daemon does. */
    private synchronized void handleEvent(TrafficEvent event) {
        if (event instanceof TrafficEvent.ConnectionRefused refused
                && refusedConnections.merge(refused.endpointId(), 1, Integer::sum) == 2) {
            replaceEndpoint(refused.endpointId());
        } else if (event instanceof TrafficEvent.EndpointDied died) {
            replaceEndpoint(died.endpointId());
        }
    }

    private void replaceEndpoint(String endpointId) {
        Endpoint removed = endpoints.remove(endpointId);
        if (removed != null) {
            publish();
            closeAndCountRuns(backends.remove(endpointId));
            membership.schedule(() -> startBackend(removed.node()), RESTART_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void closeAndCountRuns(BackendStandin backend) {
        backend.stats().runs().forEach((key, count) -> runsByKey.merge(key, count, Integer::sum));
        backend.close();
    }

    /** Kills the backend server that has been running longest. */
    synchronized void killOldestBackend() {
        if (backends.isEmpty()) {
            return;
        }
        String oldestId = backends.keySet().iterator().next();
        BackendStandin backend = backends.remove(oldestId);
        closeAndCountRuns(backend);
        Endpoint killed = endpoints.get(oldestId);
        // Without calls no connection is refused, and a daemon would miss announcements only after 3 s.
        membership.schedule(
                () -> {
                    synchronized (this) {
                        if (endpoints.remove(oldestId) != null) {
                            publish();
                        }
                        startBackend(killed.node());
                    }
                },
                RESTART_DELAY_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Stops forwarding on all open connections between nodes without closing them. */
    void freezePeerConnections() {
        nodes.forEach(node -> node.proxy().freeze());
    }

    /** Makes the table service unavailable for the rest of the run. */
    void stopTableService() {
        platform.injectFault(Fault.outage(TimeUnit.MINUTES.toMillis(1)));
    }

    /** Stops forwarding on open and future connections to the nodes of the second zone. */
    void isolateSecondZone() {
        nodes.subList(ENTRY_NODE_COUNT, NODE_COUNT).forEach(node -> node.proxy().isolate());
    }

    /** Kills the nodes of the second zone with their backend servers; membership removes them after 3 s. */
    synchronized void killSecondZone() {
        for (CallNode node : nodes.subList(ENTRY_NODE_COUNT, NODE_COUNT)) {
            List<String> localEndpointIds = endpoints.keySet().stream()
                    .filter(id -> id.startsWith(node.node().id() + "/"))
                    .toList();
            localEndpointIds.forEach(id -> closeAndCountRuns(backends.remove(id)));
            node.kill();
        }
    }

    /** Restarts the next node gracefully: its endpoint drains and callers use other nodes before it stops. */
    synchronized void restartNextNode() {
        CallNode node = nodes.get(startedRestarts++ % NODE_COUNT);
        node.withdraw();
        setEndpointState(node, EndpointState.DRAINING);
        membership.schedule(
                () -> node.restart(operations).thenRun(() -> setEndpointState(node, EndpointState.READY)),
                ENDPOINT_PROPAGATION_MS,
                TimeUnit.MILLISECONDS);
    }

    private synchronized void setEndpointState(CallNode node, EndpointState state) {
        endpoints.replaceAll((id, endpoint) -> endpoint.node().equals(node.node())
                ? new Endpoint(id, endpoint.server(), endpoint.node(), state, endpoint.timestamp())
                : endpoint);
        publish();
    }

    /** Returns the caller address of one of the nodes that accept calls, in turn by call index. */
    HostPort callerAddress(int callIndex) {
        List<CallNode> acceptingNodes = nodes.stream()
                .limit(ENTRY_NODE_COUNT)
                .filter(CallNode::acceptsCallers)
                .toList();
        return acceptingNodes.get(callIndex % acceptingNodes.size()).callerAddress();
    }

    /** Stops all backend servers and returns the number of runs by call key. */
    synchronized Map<String, Integer> stopBackends() {
        backends.values().forEach(this::closeAndCountRuns);
        backends.clear();
        return runsByKey;
    }

    @Override
    public void close() {
        membership.shutdownNow();
        stopBackends();
        operations.shutdown();
        nodes.forEach(CallNode::close);
        platform.close();
        http.close();
        io.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}

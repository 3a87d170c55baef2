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

/** Four nodes with traffic planes and a backend server each, in one process, joined by freezable links. */
final class CallMesh implements AutoCloseable {

    static final String POISON = "poison";

    /** Slots and time of a call give each endpoint 200 calls/s, of which 150 are open to all classes. */
    static final int SLOTS = 4;

    private static final int CALL_MS = 20;
    private static final int NODES = 4;
    private static final int ENTRY_NODES = 2;
    private static final AvailabilityZone FIRST_ZONE = new AvailabilityZone("a", new Region("west"));

    /** Time in which a change of endpoints reaches all nodes. */
    private static final long SPREAD_MS = 200;

    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(1);

    /** A replacement appears after this time, as a supervisor restarts a process. */
    private static final long RESTART_MS = 500;

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
    private final Map<String, Integer> refusals = new HashMap<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private int restarts;
    private volatile Snapshot snapshot = Snapshot.EMPTY;

    private CallMesh(TrafficPolicies policies, AvailabilityZone otherZone) {
        PlatformClient table = PlatformClient.create(http, platform.address());
        for (int i = 0; i < NODES; i++) {
            AvailabilityZone zone = i < ENTRY_NODES ? FIRST_ZONE : otherZone;
            CallNode node = CallNode.start(
                    "n" + i,
                    zone,
                    config -> TrafficPlane.start(
                            config,
                            () -> snapshot,
                            table,
                            event -> membership.execute(() -> observe(event)),
                            policies));
            nodes.add(node);
            startBackend(node.node());
        }
    }

    /** Starts two nodes for callers in the first zone and two more nodes in another one. */
    static CallMesh start(TrafficPolicies policies, AvailabilityZone otherZone) {
        return new CallMesh(policies, otherZone);
    }

    private static Route route(String path, CallClass callClass, int seconds, boolean atMostOnce) {
        return new Route(
                path,
                "",
                path,
                List.of(new ServiceShare(SERVICE, 1)),
                callClass,
                Duration.ofSeconds(seconds),
                Duration.ofSeconds(seconds),
                Route.DEFAULT_MAX_ATTEMPTS,
                !atMostOnce,
                atMostOnce,
                Set.of());
    }

    private synchronized void startBackend(Node node) {
        BackendStandin backend = BackendStandin.start(
                BackendSettings.of(SERVICE, "v1").slots(SLOTS).build(),
                Behaviour.HEALTHY.withLatencyMs(CALL_MS).withCrashMarker(POISON),
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
                CallerLimits.DEFAULT);
    }

    /** Removes an endpoint after two refused connections, as the control thread does. */
    private synchronized void observe(TrafficEvent event) {
        if (event instanceof TrafficEvent.ConnectionRefused refused
                && refusals.merge(refused.endpointId(), 1, Integer::sum) == 2) {
            replace(refused.endpointId());
        } else if (event instanceof TrafficEvent.EndpointDied died) {
            replace(died.endpointId());
        }
    }

    private void replace(String endpointId) {
        Endpoint gone = endpoints.remove(endpointId);
        if (gone != null) {
            publish();
            collect(backends.remove(endpointId));
            membership.schedule(() -> startBackend(gone.node()), RESTART_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void collect(BackendStandin backend) {
        backend.stats().runs().forEach((key, count) -> runs.merge(key, count, Integer::sum));
        backend.close();
    }

    /** Kills the endpoint that has run longest. */
    synchronized void killOne() {
        if (backends.isEmpty()) {
            return;
        }
        String oldest = backends.keySet().iterator().next();
        BackendStandin backend = backends.remove(oldest);
        collect(backend);
        Endpoint gone = endpoints.get(oldest);
        // Without calls nobody notices the death; announcements stay away after 3 s.
        membership.schedule(
                () -> {
                    synchronized (this) {
                        if (endpoints.remove(oldest) != null) {
                            publish();
                        }
                        startBackend(gone.node());
                    }
                },
                RESTART_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Makes every open connection between nodes silent. */
    void freezeLinks() {
        nodes.forEach(node -> node.link().freeze());
    }

    /** Takes the table service away for the rest of the run. */
    void takeTableAway() {
        platform.injectFault(Fault.outage(TimeUnit.MINUTES.toMillis(1)));
    }

    /** Cuts the nodes of the other zone off. */
    void cutOtherZone() {
        nodes.subList(ENTRY_NODES, NODES).forEach(node -> node.link().cut());
    }

    /** Kills the nodes of the other zone with their backend servers; membership removes them after 3 s. */
    synchronized void killOtherZone() {
        for (CallNode node : nodes.subList(ENTRY_NODES, NODES)) {
            List<String> beside = endpoints.keySet().stream()
                    .filter(id -> id.startsWith(node.node().id() + "/"))
                    .toList();
            beside.forEach(id -> collect(backends.remove(id)));
            node.kill();
        }
    }

    /** Restarts the next node: its endpoint drains and callers move away before it stops. */
    synchronized void restartNext() {
        CallNode node = nodes.get(restarts++ % NODES);
        node.withdraw();
        mark(node, EndpointState.DRAINING);
        membership.schedule(
                () -> node.restart(operations).thenRun(() -> mark(node, EndpointState.READY)),
                SPREAD_MS,
                TimeUnit.MILLISECONDS);
    }

    private synchronized void mark(CallNode node, EndpointState state) {
        endpoints.replaceAll((id, old) -> old.node().equals(node.node())
                ? new Endpoint(id, old.server(), old.node(), state, old.timestamp())
                : old);
        publish();
    }

    /** Returns the address for callers of one of the nodes that take them. */
    HostPort callers(int turn) {
        List<CallNode> open =
                nodes.stream().limit(ENTRY_NODES).filter(CallNode::takesCallers).toList();
        return open.get(turn % open.size()).callers();
    }

    /** Ends all and returns how often each key ran. */
    synchronized Map<String, Integer> stop() {
        backends.values().forEach(this::collect);
        backends.clear();
        return runs;
    }

    @Override
    public void close() {
        membership.shutdownNow();
        stop();
        operations.shutdown();
        nodes.forEach(CallNode::close);
        platform.close();
        http.close();
        io.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}

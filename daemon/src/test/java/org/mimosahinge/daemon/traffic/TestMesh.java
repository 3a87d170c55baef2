package org.mimosahinge.daemon.traffic;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.UnaryOperator;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.Limits;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.platform.TableService;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.BackendServer;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;
import org.mimosahinge.api.world.Stamp;
import org.mimosahinge.net.frame.FrameDecoder;
import org.mimosahinge.net.frame.FrameEncoder;

/** Nodes of one zone with traffic planes in one process, joined by real sockets. */
final class TestMesh implements AutoCloseable {

    static final HostPort ANY = new HostPort("127.0.0.1", 0);
    static final AvailabilityZone ZONE = new AvailabilityZone("a", new Region("west"));

    final List<TrafficPlane> planes = new ArrayList<>();
    final List<TrafficEvent> events = new CopyOnWriteArrayList<>();
    final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<Channel> frameServers = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, List<Endpoint>> endpoints = new HashMap<>();
    private final Map<String, Service> services = new HashMap<>();
    private final List<Route> routes = new ArrayList<>();
    private volatile Snapshot snapshot = Snapshot.EMPTY;

    /** Starts nodes; the first one serves the callers of most tests. */
    TestMesh(int count, TableService table) {
        for (int i = 0; i < count; i++) {
            HostPort frames = new HostPort("127.0.0.1", FreePorts.next());
            Node node = new Node(new NodeId("n" + i), 1, ZONE, frames);
            TrafficPlane plane =
                    TrafficPlane.start(new TrafficConfig(node, ANY, 1, 0), () -> snapshot, table, events::add);
            frameServers.add(new ServerBootstrap()
                    .group(plane.eventLoops())
                    .channel(NioServerSocketChannel.class)
                    .childHandler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel channel) {
                            channel.pipeline().addLast(new FrameDecoder(), new FrameEncoder(), plane.callConnection());
                        }
                    })
                    .bind(frames.host(), frames.port())
                    .syncUninterruptibly()
                    .channel());
            nodes.add(node);
            planes.add(plane);
        }
    }

    TestMesh route(Route route) {
        routes.add(route);
        services.putIfAbsent(
                route.service(),
                new Service(route.service(), List.of("v1"), "v1", java.util.Optional.empty(), Limits.DEFAULT));
        return publish(current -> current);
    }

    TestMesh endpoint(int node, String service, HostPort address, int slots) {
        Node beside = nodes.get(node);
        endpoints
                .computeIfAbsent(service, key -> new ArrayList<>())
                .add(new Endpoint(
                        beside.id() + "/" + address,
                        new BackendServer(service, "v1", address, slots, 130, java.util.Set.of()),
                        beside,
                        EndpointState.READY,
                        new Stamp(1, 1)));
        return publish(current -> current);
    }

    /** Puts a changed snapshot in force on all nodes. */
    TestMesh publish(UnaryOperator<Snapshot> change) {
        Map<String, Long> revisions = new HashMap<>();
        services.keySet().forEach(service -> revisions.put(service, 1L));
        snapshot = change.apply(new Snapshot(
                1, new TreeMap<>(), services, revisions, routes, Map.of(), endpoints, java.util.Set.of(), true));
        return this;
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

    @Override
    public void close() {
        frameServers.forEach(server -> server.close().syncUninterruptibly());
        planes.forEach(TrafficPlane::close);
    }

    /** Finds ports for servers whose address must be known before they start. */
    static final class FreePorts {

        private FreePorts() {}

        static int next() {
            try (java.net.ServerSocket probe = new java.net.ServerSocket()) {
                probe.bind(new InetSocketAddress("127.0.0.1", 0));
                return probe.getLocalPort();
            } catch (java.io.IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }
    }
}

package org.mimosahinge.bench.calls;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.daemon.traffic.TrafficConfig;
import org.mimosahinge.daemon.traffic.TrafficPlane;

/** A node whose traffic plane can be restarted; other nodes reach it over a freezable link. */
final class CallNode implements AutoCloseable {

    private static final HostPort ANY = new HostPort("127.0.0.1", 0);

    private final Function<TrafficConfig, TrafficPlane> starter;
    private final HostPort frames = freePort();
    private final FreezableLink link = FreezableLink.to(frames);
    private final Node node;
    private volatile TrafficPlane plane;
    private volatile boolean takesCallers = true;

    private CallNode(String name, AvailabilityZone zone, Function<TrafficConfig, TrafficPlane> starter) {
        this.starter = starter;
        node = new Node(new NodeId(name), 1, zone, link.address());
        startPlane();
    }

    static CallNode start(String name, AvailabilityZone zone, Function<TrafficConfig, TrafficPlane> starter) {
        return new CallNode(name, zone, starter);
    }

    private static HostPort freePort() {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new HostPort("127.0.0.1", probe.getLocalPort());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void startPlane() {
        plane = starter.apply(new TrafficConfig(node, ANY, 1, 0));
        plane.listenForPeers(frames);
    }

    Node node() {
        return node;
    }

    FreezableLink link() {
        return link;
    }

    HostPort callers() {
        return plane.callers();
    }

    boolean takesCallers() {
        return takesCallers;
    }

    /** Tells callers to use other nodes, as a load balancer does before a planned stop. */
    void withdraw() {
        takesCallers = false;
    }

    /** Stops gracefully and starts again. */
    CompletionStage<Void> restart(Executor executor) {
        return plane.drain()
                .thenRunAsync(
                        () -> {
                            plane.close();
                            startPlane();
                            takesCallers = true;
                        },
                        executor);
    }

    /** Ends the node as a failure of its VM does. */
    void kill() {
        takesCallers = false;
        link.close();
        plane.close();
    }

    @Override
    public void close() {
        plane.close();
        link.close();
    }
}

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

/** A node whose traffic plane can be restarted; other nodes connect to it through a freezable proxy. */
final class CallNode implements AutoCloseable {

    private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);

    private final Function<TrafficConfig, TrafficPlane> planeFactory;
    private final HostPort peerAddress = freeAddress();
    private final FreezableProxy proxy = FreezableProxy.to(peerAddress);
    private final Node node;
    private volatile TrafficPlane plane;
    private volatile boolean acceptsCallers = true;

    private CallNode(String name, AvailabilityZone zone, Function<TrafficConfig, TrafficPlane> planeFactory) {
        this.planeFactory = planeFactory;
        node = new Node(new NodeId(name), 1, zone, proxy.address());
        startPlane();
    }

    static CallNode start(String name, AvailabilityZone zone, Function<TrafficConfig, TrafficPlane> planeFactory) {
        return new CallNode(name, zone, planeFactory);
    }

    private static HostPort freeAddress() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new HostPort("127.0.0.1", socket.getLocalPort());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void startPlane() {
        plane = planeFactory.apply(new TrafficConfig(node, ANY_PORT, 1, 0));
        plane.listenForPeers(peerAddress);
    }

    Node node() {
        return node;
    }

    FreezableProxy proxy() {
        return proxy;
    }

    HostPort callerAddress() {
        return plane.callers();
    }

    boolean acceptsCallers() {
        return acceptsCallers;
    }

    /** Withdraws the node from callers, as a load balancer does before a planned stop. */
    void withdraw() {
        acceptsCallers = false;
    }

    /** Drains and closes the traffic plane, starts a new one and accepts callers again. */
    CompletionStage<Void> restart(Executor executor) {
        return plane.drain()
                .thenRunAsync(
                        () -> {
                            plane.close();
                            startPlane();
                            acceptsCallers = true;
                        },
                        executor);
    }

    /** Closes all connections without draining, as a failure of the VM does. */
    void kill() {
        acceptsCallers = false;
        proxy.close();
        plane.close();
    }

    @Override
    public void close() {
        plane.close();
        proxy.close();
    }
}

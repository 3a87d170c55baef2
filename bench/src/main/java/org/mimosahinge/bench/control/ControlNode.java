package org.mimosahinge.bench.control;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.platform.ObjectStore;
import org.mimosahinge.api.platform.TableService;
import org.mimosahinge.api.settings.NodeSettings;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.core.fanout.FanoutPolicy;
import org.mimosahinge.daemon.control.ControlByteCounter;
import org.mimosahinge.daemon.control.ControlLoop;
import org.mimosahinge.daemon.control.ControlPlane;
import org.mimosahinge.daemon.control.NodeContext;
import org.mimosahinge.daemon.control.PeerChannels;
import org.mimosahinge.daemon.control.SnapshotReference;
import org.mimosahinge.daemon.traffic.CrashKnowledge;

/** The control plane of a daemon without a traffic plane, with its own control thread and connections. */
final class ControlNode implements AutoCloseable {

    private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);

    private final Node node;
    private final ControlByteCounter byteCounter = new ControlByteCounter();
    private final SnapshotReference snapshots = new SnapshotReference();
    private final ControlLoop loop = ControlLoop.start();
    private final PeerChannels peers;
    private final ControlPlane plane;
    private final Future<?> ticks;
    private volatile boolean stopped;

    ControlNode(
            NodeSettings settings, TableService table, ObjectStore objects, FanoutPolicy fanout, EventLoopGroup group) {
        peers = new PeerChannels(group, byteCounter);
        HostPort address = peers.listen(ANY_PORT, group);
        node = new Node(settings.nodeId(), System.currentTimeMillis(), settings.zone(), address);
        plane = new ControlPlane(
                new NodeContext(node, settings, table, objects, loop, System::nanoTime), loop, snapshots, fanout);
        peers.setHandlers(plane.connectionListener(), hello -> {
            throw new UnsupportedOperationException("A control node accepts no calls");
        });
        loop.execute(() -> plane.initialize(peers, CrashKnowledge.NONE));
        ticks = group.next()
                .scheduleAtFixedRate(
                        () -> loop.offer(plane::tick), 0, ControlPlane.TICK.toMillis(), TimeUnit.MILLISECONDS);
    }

    Node node() {
        return node;
    }

    ControlPlane plane() {
        return plane;
    }

    long version() {
        return snapshots.get().version();
    }

    boolean isReady() {
        return snapshots.get().provenCurrent();
    }

    long controlBytes() {
        return byteCounter.sentBytes() + byteCounter.receivedBytes();
    }

    boolean isStopped() {
        return stopped;
    }

    /** Stops without leaving the cluster gracefully, as a crash does. */
    @Override
    public void close() {
        stopped = true;
        ticks.cancel(false);
        peers.abort();
        loop.close();
    }
}

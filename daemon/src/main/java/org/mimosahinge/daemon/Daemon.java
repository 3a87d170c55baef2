package org.mimosahinge.daemon;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
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
import org.mimosahinge.daemon.operator.DaemonMetrics;
import org.mimosahinge.daemon.operator.OperatorHandler;
import org.mimosahinge.daemon.traffic.TrafficConfig;
import org.mimosahinge.daemon.traffic.TrafficEvent;
import org.mimosahinge.daemon.traffic.TrafficPlane;
import org.mimosahinge.net.http.HttpMessageClient;
import org.mimosahinge.net.http.HttpMessageServer;
import org.mimosahinge.net.log.EventLog;
import org.mimosahinge.net.platform.PlatformClient;

/** A running node with its control thread, traffic threads and ports for callers, peers and operators. */
public final class Daemon implements AutoCloseable {

    private static final EventLog LOG = EventLog.of("daemon");

    /** Shorter than the time to live of a lease, so that a slow platform does not delay lease renewals beyond it. */
    private static final Duration PLATFORM_TIMEOUT = Duration.ofMillis(1000);

    /** One thread handles the planned load of a node without switching calls between threads. */
    private static final int TRAFFIC_THREADS = 1;

    /** At a planned stop, neighbours learn of drained endpoints within this time. */
    private static final Duration DRAIN_PROPAGATION_TIME = Duration.ofMillis(500);

    /** Routes may have timeouts of up to an hour, but process supervisors do not wait that long for a stop. */
    private static final Duration DRAIN_TIMEOUT = Duration.ofMinutes(2);

    private final NioEventLoopGroup controlIo = new NioEventLoopGroup(1, new DefaultThreadFactory("control-io", true));
    private final ControlLoop controlLoop = ControlLoop.start();
    private final SnapshotReference snapshots = new SnapshotReference();
    private final HttpMessageClient http;
    private final TrafficPlane traffic;
    private final PeerChannels peerChannels;
    private final ControlPlane control;
    private final QuotaParts quotaParts;
    private final HttpMessageServer operatorServer;
    private final HostPort peerAddress;

    private Daemon(NodeSettings settings) {
        http = HttpMessageClient.create(controlIo, PLATFORM_TIMEOUT);
        PlatformClient platform = PlatformClient.create(http, settings.platformAddress());
        Node self = new Node(settings.nodeId(), System.currentTimeMillis(), settings.zone(), settings.peerAddress());
        ControlByteCounter byteCounter = new ControlByteCounter();
        control = new ControlPlane(
                new NodeContext(self, settings, platform, platform, controlLoop, System::nanoTime),
                controlLoop,
                snapshots,
                FanoutPolicy.standard());
        traffic = TrafficPlane.start(
                new TrafficConfig(self, settings.callerAddress(), TRAFFIC_THREADS, settings.logSampling()),
                snapshots,
                platform,
                event -> controlLoop.offer(() -> trafficEvent(event)));
        quotaParts = new QuotaParts(traffic.quotas());
        peerChannels = new PeerChannels(controlIo, byteCounter);
        peerChannels.setHandlers(control.connectionListener(), hello -> traffic.newInboundHandler());
        peerAddress = peerChannels.listen(settings.peerAddress(), traffic.eventLoops());
        controlLoop.execute(() -> control.initialize(peerChannels, traffic));
        DaemonMetrics metrics = new DaemonMetrics(snapshots, byteCounter, controlLoop);
        operatorServer = HttpMessageServer.start(
                settings.operatorAddress(), controlIo, new OperatorHandler(self, control, snapshots, metrics::text));
        controlIo.scheduleAtFixedRate(
                () -> controlLoop.offer(this::tick), 0, ControlPlane.TICK.toMillis(), TimeUnit.MILLISECONDS);
        LOG.info(
                "started",
                "node",
                self.id(),
                "zone",
                self.zone().name(),
                "callers",
                traffic.callers(),
                "peers",
                peerAddress,
                "operators",
                operatorServer.address());
    }

    /**
     * Starts a node.
     *
     * @param settings its settings
     * @return the running node
     */
    public static Daemon start(NodeSettings settings) {
        return new Daemon(settings);
    }

    private void tick() {
        control.tick();
        quotaParts.update(
                snapshots.get().rules().organisations(),
                control.nodeCount(),
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    }

    private void trafficEvent(TrafficEvent event) {
        if (event instanceof TrafficEvent.ConnectionRefused refused) {
            control.connectionRefused(refused.endpointId());
        } else if (event instanceof TrafficEvent.CallEvidence outcomes) {
            control.addCallOutcomes(outcomes.outcomes());
        } else if (event instanceof TrafficEvent.CrashesKnown known) {
            control.crashesKnown(known);
        }
    }

    /**
     * Returns the address for callers.
     *
     * @return the bound address
     */
    public HostPort callerAddress() {
        return traffic.callers();
    }

    /**
     * Returns the address of the operator port.
     *
     * @return the bound address
     */
    public HostPort operatorAddress() {
        return operatorServer.address();
    }

    /**
     * Returns the configuration version in force.
     *
     * @return the version, 0 before the first
     */
    public long version() {
        return snapshots.get().version();
    }

    /** Stops without aborting calls: drains endpoints, releases leases, lets calls finish and closes the ports. */
    @Override
    public void close() {
        controlLoop.execute(control::shutDown);
        sleep(DRAIN_PROPAGATION_TIME);
        awaitDrain();
        traffic.close();
        operatorServer.close();
        peerChannels.close();
        controlLoop.close();
        http.close();
        controlIo.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        LOG.info("stopped");
    }

    private void awaitDrain() {
        try {
            traffic.drain().toCompletableFuture().get(DRAIN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            LOG.warn("drain_incomplete", "limitMs", DRAIN_TIMEOUT.toMillis());
        }
    }

    /** Stops at once, as a crash would; used by failure tests. */
    void kill() {
        peerChannels.abort();
        controlIo.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        traffic.close();
        controlLoop.close();
    }

    private static void sleep(Duration duration) {
        try {
            Thread.sleep(duration.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

package org.mimosahinge.daemon.traffic;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.platform.TableService;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.core.admission.ShutdownAdmission;
import org.mimosahinge.core.pace.Coldness;
import org.mimosahinge.core.poison.CrashRegistry;
import org.mimosahinge.core.poison.CrashReport;
import org.mimosahinge.core.poison.Fingerprint;
import org.mimosahinge.core.retry.RunningRepeats;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.frame.FrameDecoder;
import org.mimosahinge.net.frame.FrameEncoder;
import org.mimosahinge.net.tcp.ReceiveAllocators;

/** Forwards a node's calls: from callers, to and from other nodes, and to the backend servers on this node. */
public final class TrafficPlane implements AutoCloseable, CrashKnowledge {

    private static final ShutdownAdmission SHUTDOWN = ShutdownAdmission.internalChecksThatEndInTime();

    private static final long DRAIN_CHECK_MS = 20;

    /** Maximum size of the parts in which bodies are forwarded, Netty's default. */
    private static final int CHUNK_BYTES = 8_192;

    /**
     * Limits the memory of an incomplete request head. It is far above the configured limits, because the limit in
     * force is known only when the request is handled, and a connection outlives configurations.
     */
    private static final int MAX_HEAD_BYTES = 128 << 10;

    /** Length of the accept queue; a burst of connections must not lose SYN packets. */
    private static final int BACKLOG = 1_024;

    private final TrafficContext context;
    private final EventLoopGroup group;
    private final Map<EventLoop, TrafficLoop> loops = new ConcurrentHashMap<>();
    private final List<TrafficLoop> orderedLoops = new ArrayList<>();
    private Channel server;
    private volatile boolean draining;
    private volatile boolean closingCallers;
    private volatile boolean endingCalls;
    private volatile LongSupplier remainingGraceMs;
    private volatile List<Frame> initialFrames = List.of();
    private volatile LongSupplier revisionSource = () -> 0;
    private volatile Supplier<Coldness> coldnessSource = () -> Coldness.UNKNOWN;

    private TrafficPlane(TrafficContext context) {
        this.context = context;
        group = new NioEventLoopGroup(context.config().eventLoops(), new DefaultThreadFactory("traffic", true));
        group.forEach(executor -> orderedLoops.add(loop((EventLoop) executor)));
    }

    /**
     * Starts the traffic plane of a node with the standard policies.
     *
     * @param config settings
     * @param snapshots provides the configuration in force
     * @param table stores the claims of at-most-once calls
     * @param listener receives events
     * @return the running traffic plane
     */
    public static TrafficPlane start(
            TrafficConfig config, SnapshotSource snapshots, TableService table, TrafficListener listener) {
        return start(config, snapshots, table, listener, TrafficPolicies.standard());
    }

    /**
     * Starts the traffic plane of a node.
     *
     * @param config settings
     * @param snapshots provides the configuration in force
     * @param table stores the claims of at-most-once calls
     * @param listener receives events
     * @param policies replaceable decisions
     * @return the running traffic plane
     */
    public static TrafficPlane start(
            TrafficConfig config,
            SnapshotSource snapshots,
            TableService table,
            TrafficListener listener,
            TrafficPolicies policies) {
        TrafficPlane plane = new TrafficPlane(new TrafficContext(
                config,
                snapshots,
                table,
                listener,
                policies,
                new AtomicReference<>(CrashRegistry.EMPTY),
                new CallMetrics(config.registry()),
                new RunningRepeats(),
                new QuotaGates(policies.random(), config.registry())));
        plane.bind();
        return plane;
    }

    private void bind() {
        server = listen(context.config().callers(), caller -> caller.pipeline()
                .addLast(
                        new HttpServerCodec(MAX_HEAD_BYTES, MAX_HEAD_BYTES, CHUNK_BYTES),
                        new CallerConnection(this, loop(caller.eventLoop()))));
    }

    /**
     * Returns the address for callers.
     *
     * @return the bound address
     */
    public HostPort callers() {
        InetSocketAddress bound = (InetSocketAddress) server.localAddress();
        return new HostPort(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /**
     * Returns the traffic threads; inbound connections of nodes are registered with them, so that their calls need no
     * switch between threads.
     *
     * @return the event loops
     */
    public EventLoopGroup eventLoops() {
        return group;
    }

    /**
     * Accepts connections of other nodes on a separate port; a daemon shares one port with its control connections.
     *
     * @param address the address to listen on
     */
    public void listenForPeers(HostPort address) {
        listen(address, channel -> channel.pipeline()
                .addLast(new FrameDecoder(), new FrameEncoder(), newInboundHandler()));
    }

    private Channel listen(HostPort address, Consumer<SocketChannel> initializer) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, ReceiveAllocators.readUntilEmpty())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        initializer.accept(channel);
                    }
                })
                .bind(address.host(), address.port())
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Creates the handler of an inbound connection of another node, to be added after the frame codec.
     *
     * @return the handler
     */
    public ChannelHandler newInboundHandler() {
        return new InboundPeerConnection(this);
    }

    @Override
    public boolean learn(CrashReport report) {
        long now = TrafficLoop.nowMs();
        UnaryOperator<CrashRegistry> merge =
                registry -> registry.merge(report, now, context.policies().random());
        CrashRegistry before = context.crashes().getAndUpdate(merge);
        return merge.apply(before) != before;
    }

    @Override
    public List<CrashReport> crashReports() {
        return context.crashes().get().openReports();
    }

    @Override
    public boolean quarantine(Fingerprint fingerprint, Duration time) {
        long now = TrafficLoop.nowMs();
        return !context.crashes()
                .getAndUpdate(registry -> registry.refuse(fingerprint, now, now + time.toMillis()))
                .isRefused(fingerprint, now);
    }

    /**
     * Shuts down gracefully: accepts no new connections, completes the calls in flight and closes the connections.
     *
     * @return completes when no inbound connection is open
     */
    public CompletionStage<Void> drain() {
        draining = true;
        server.close();
        List<CompletableFuture<Void>> drained = new ArrayList<>();
        for (TrafficLoop loop : loops.values()) {
            CompletableFuture<Void> done = new CompletableFuture<>();
            drained.add(done);
            loop.eventLoop().execute(() -> {
                List.copyOf(loop.connections()).forEach(Drainable::drain);
                awaitDrained(loop, done);
            });
        }
        return CompletableFuture.allOf(drained.toArray(CompletableFuture[]::new));
    }

    private static void awaitDrained(TrafficLoop loop, CompletableFuture<Void> done) {
        if (loop.connections().isEmpty()) {
            done.complete(null);
        } else {
            loop.eventLoop().schedule(() -> awaitDrained(loop, done), DRAIN_CHECK_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Maintains a connection to each of these nodes.
     *
     * @param addresses the nodes' addresses
     */
    public void maintainPeers(Set<HostPort> addresses) {
        orderedLoops.forEach(loop -> loop.eventLoop().execute(() -> loop.maintainPeers(addresses)));
    }

    /**
     * Sets the frames that are sent first to each node that connects.
     *
     * @param frames the frames
     */
    public void sendOnConnect(List<Frame> frames) {
        initialFrames = List.copyOf(frames);
    }

    List<Frame> initialFrames() {
        return initialFrames;
    }

    /**
     * Sets the source of the newest revision of the operators' rows.
     *
     * @param source returns the newest revision on this node
     */
    public void setRevisionSource(LongSupplier source) {
        revisionSource = source;
    }

    /**
     * Sets the source of the coldness of this node's backend server.
     *
     * @param source returns what is known at present; called on the threads of the calls
     */
    public void setColdnessSource(Supplier<Coldness> source) {
        coldnessSource = source;
    }

    Coldness coldness() {
        return coldnessSource.get();
    }

    long revision() {
        return maintainsPeers()
                ? revisionSource.getAsLong()
                : context.snapshots().get().version();
    }

    private boolean maintainsPeers() {
        return context.policies().peering().maintainsPeers();
    }

    /**
     * Sends a frame to all nodes that have connected to this one.
     *
     * @param frame the frame
     */
    public void sendToInbound(Frame frame) {
        orderedLoops.forEach(loop ->
                loop.eventLoop().execute(() -> List.copyOf(loop.inbound()).forEach(peer -> peer.send(frame))));
    }

    /**
     * Sends frames to one node that has connected to this one.
     *
     * @param node the node
     * @param frames the frames
     */
    public void sendToInbound(NodeId node, List<Frame> frames) {
        orderedLoops.forEach(loop -> loop.eventLoop().execute(() -> List.copyOf(loop.inbound()).stream()
                .filter(peer -> peer.node() != null && peer.node().id().equals(node))
                .forEach(peer -> frames.forEach(peer::send))));
    }

    /**
     * Sends a frame to some of the nodes that have connected to this one.
     *
     * @param nodes the nodes
     * @param frame the frame
     */
    public void sendToInbound(Set<NodeId> nodes, Frame frame) {
        orderedLoops.forEach(loop -> loop.eventLoop().execute(() -> List.copyOf(loop.inbound()).stream()
                .filter(peer ->
                        peer.node() != null && nodes.contains(peer.node().id()))
                .forEach(peer -> peer.send(frame))));
    }

    /**
     * Sends a frame to a node to which this one has connected.
     *
     * @param address the node's address
     * @param frame the frame
     */
    public void sendToOutbound(HostPort address, Frame frame) {
        orderedLoops.forEach(loop -> loop.eventLoop().execute(() -> loop.sendToOutbound(address, frame)));
    }

    /** Closes each connection of a caller with its next response, by {@code connection: close}. */
    public void closeCallerConnections() {
        closingCallers = true;
    }

    boolean closingCallers() {
        return closingCallers || draining;
    }

    /** Asks other nodes to send no more calls and callers to open new connections; closes none that is in use. */
    public void announceDrain() {
        draining = true;
        orderedLoops.forEach(loop ->
                loop.eventLoop().execute(() -> List.copyOf(loop.connections()).forEach(Drainable::drain)));
    }

    /**
     * Refuses most calls that begin from now on, as not run; connections are still accepted.
     *
     * @param remainingMs returns the time left until the process ends
     */
    public void stopAdmitting(LongSupplier remainingMs) {
        remainingGraceMs = remainingMs;
    }

    /** Returns whether a call may begin. */
    boolean admits(Route route, long deadlineMs) {
        LongSupplier remainingMs = remainingGraceMs;
        return remainingMs == null || SHUTDOWN.admits(route.callClass(), deadlineMs, remainingMs.getAsLong());
    }

    /**
     * Answers all calls that are still in flight: those that wait at a backend server of this node have not run.
     *
     * @return completes when all are answered
     */
    public CompletionStage<Void> endCalls() {
        endingCalls = true;
        return CompletableFuture.allOf(orderedLoops.stream()
                .map(loop -> CompletableFuture.runAsync(loop::endCalls, loop.eventLoop()))
                .toArray(CompletableFuture[]::new));
    }

    /** Returns whether calls are being ended, so that none may be attempted again. */
    boolean endingCalls() {
        return endingCalls;
    }

    /**
     * Closes idle connections of callers.
     *
     * @param silence minimum time without a request, so that a request in transit does not reach a closed connection
     * @return number of open connections of callers and of connections of nodes with calls in flight
     */
    public CompletionStage<Integer> closeIdleCallers(Duration silence) {
        List<CompletableFuture<Integer>> counts = orderedLoops.stream()
                .map(loop -> CompletableFuture.supplyAsync(
                        () -> loop.closeIdleCallers(silence.toMillis()), loop.eventLoop()))
                .toList();
        return CompletableFuture.allOf(counts.toArray(CompletableFuture[]::new))
                .thenApply(done ->
                        counts.stream().mapToInt(CompletableFuture::join).sum());
    }

    /**
     * Returns the admission of calls of organisations with a quota.
     *
     * @return the gates, shared by all traffic threads
     */
    public QuotaGates quotas() {
        return context.quotas();
    }

    TrafficContext context() {
        return context;
    }

    TrafficLoop loop(EventLoop eventLoop) {
        return loops.computeIfAbsent(eventLoop, key -> new TrafficLoop(this, key));
    }

    /** Returns the event loop that owns the slots of an endpoint on this node. */
    TrafficLoop owner(String endpointId) {
        return orderedLoops.get(Math.floorMod(endpointId.hashCode(), orderedLoops.size()));
    }

    boolean draining() {
        return draining;
    }

    @Override
    public void close() {
        if (group.isShuttingDown()) {
            return;
        }
        server.close().syncUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}

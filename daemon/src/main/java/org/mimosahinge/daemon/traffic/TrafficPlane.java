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
import org.mimosahinge.api.platform.TableService;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.core.poison.CrashRegistry;
import org.mimosahinge.core.poison.Fingerprint;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.frame.FrameDecoder;
import org.mimosahinge.net.frame.FrameEncoder;
import org.mimosahinge.net.tcp.ReceiveAllocators;

/** Carries a node's calls: from callers, to and from other nodes, and to the backend servers beside it. */
public final class TrafficPlane implements AutoCloseable {

    private static final long DRAIN_CHECK_MS = 20;

    /** Bodies are handed on in parts of at most this size, Netty's default. */
    private static final int CHUNK_BYTES = 8_192;

    /**
     * Bounds the memory of a head that is not complete. It is far above the limits that configurations set, because the
     * limit in force is known only when the request is taken, and a connection outlives configurations.
     */
    private static final int MAX_HEAD_BYTES = 128 << 10;

    /** Connections of callers that wait to be accepted; a burst must not lose opening packets. */
    private static final int BACKLOG = 1_024;

    private final TrafficContext context;
    private final EventLoopGroup group;
    private final Map<EventLoop, TrafficLoop> loops = new ConcurrentHashMap<>();
    private final List<TrafficLoop> orderedLoops = new ArrayList<>();
    private Channel server;
    private volatile boolean draining;
    private volatile boolean closingCallers;
    private volatile List<Frame> initialFrames = List.of();
    private volatile LongSupplier revisionSource = () -> 0;

    private TrafficPlane(TrafficContext context) {
        this.context = context;
        group = new NioEventLoopGroup(context.config().eventLoops(), new DefaultThreadFactory("traffic", true));
        group.forEach(executor -> orderedLoops.add(loop((EventLoop) executor)));
    }

    /**
     * Starts the traffic of a node.
     *
     * @param config settings
     * @param snapshots configuration in force
     * @param table holds the claims of at-most-once calls
     * @param listener takes reports
     * @return the running traffic plane
     */
    public static TrafficPlane start(
            TrafficConfig config, SnapshotSource snapshots, TableService table, TrafficListener listener) {
        return start(config, snapshots, table, listener, TrafficPolicies.standard());
    }

    /**
     * Starts the traffic of a node with chosen policies.
     *
     * @param config settings
     * @param snapshots configuration in force
     * @param table holds the claims of at-most-once calls
     * @param listener takes reports
     * @param policies decisions that vary
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
                new CallMetrics(config.registry())));
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
     * Returns the traffic threads; inbound connections for calls belong on them, which saves a hop between threads.
     *
     * @return the event loops
     */
    public EventLoopGroup eventLoops() {
        return group;
    }

    /**
     * Accepts calls of other nodes on a port of its own; a daemon shares that port with its control connections.
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
     * Creates the handler of an inbound connection for calls; it goes behind the frame codec.
     *
     * @return the handler
     */
    public ChannelHandler newInboundHandler() {
        return new InboundPeerConnection(this);
    }

    /**
     * Refuses a request that another node found to crash backend servers.
     *
     * @param fingerprint the request
     * @param time how long it is refused
     */
    public void quarantine(Fingerprint fingerprint, Duration time) {
        long now = TrafficLoop.nowMs();
        context.crashes().updateAndGet(registry -> registry.refuse(fingerprint, now, now + time.toMillis()));
    }

    /**
     * Stops gracefully: takes no new connections, finishes the calls in flight and closes.
     *
     * @return completes when no caller and no node has a connection left
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
     * Keeps a connection open to each of these nodes.
     *
     * @param addresses the nodes' addresses
     */
    public void maintainPeers(Set<HostPort> addresses) {
        orderedLoops.forEach(loop -> loop.eventLoop().execute(() -> loop.maintainPeers(addresses)));
    }

    /**
     * Sets what each node that connects is told first.
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
     * Sets where the newest revision of the operators' rows is read.
     *
     * @param source the revision of this node
     */
    public void setRevisionSource(LongSupplier source) {
        revisionSource = source;
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
     * Tells all nodes that have connected to this one.
     *
     * @param frame what is told
     */
    public void sendToInbound(Frame frame) {
        orderedLoops.forEach(loop ->
                loop.eventLoop().execute(() -> List.copyOf(loop.inbound()).forEach(peer -> peer.send(frame))));
    }

    /**
     * Tells one node that has connected to this one.
     *
     * @param node the node
     * @param frames what it is told
     */
    public void sendToInbound(NodeId node, List<Frame> frames) {
        orderedLoops.forEach(loop -> loop.eventLoop().execute(() -> List.copyOf(loop.inbound()).stream()
                .filter(peer -> peer.node() != null && peer.node().id().equals(node))
                .forEach(peer -> frames.forEach(peer::send))));
    }

    /**
     * Tells a node to which this one has connected.
     *
     * @param address the node's address
     * @param frame what it is told
     */
    public void sendToOutbound(HostPort address, Frame frame) {
        orderedLoops.forEach(loop -> loop.eventLoop().execute(() -> loop.sendToOutbound(address, frame)));
    }

    /** Asks callers to use other connections for their next requests. */
    public void closeCallerConnections() {
        closingCallers = true;
    }

    boolean closingCallers() {
        return closingCallers || draining;
    }

    /** Asks other nodes for no more calls and callers to use other connections; connections stay open. */
    public void announceDrain() {
        draining = true;
        orderedLoops.forEach(loop ->
                loop.eventLoop().execute(() -> List.copyOf(loop.connections()).forEach(Drainable::drain)));
    }

    /** Takes no new connections of callers; the open ones stay. */
    public void stopAccepting() {
        server.close();
    }

    /**
     * Closes connections whose callers have been silent for a while.
     *
     * @param silence least time without a request; one that is on its way must not meet a closed connection
     * @return connections of callers that are still open, and of nodes with calls in flight
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

    TrafficContext context() {
        return context;
    }

    TrafficLoop loop(EventLoop eventLoop) {
        return loops.computeIfAbsent(eventLoop, key -> new TrafficLoop(this, key));
    }

    /** Returns the event loop that owns the slots of an endpoint beside this node. */
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

package org.mimosahinge.standin.backend;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.net.http.HttpMessageClient;
import org.mimosahinge.net.log.EventLog;

/**
 * A backend server that announces itself to the node beside it.
 *
 * <p>All state is confined to one event loop. Calls are served until the server is closed, also while draining, because
 * calls that are already in transit must not fail.
 */
public final class BackendStandin implements AutoCloseable {

    private static final EventLog LOG = EventLog.of("backend");
    private static final int MAX_REQUEST_BYTES = 2 << 20;
    private static final Duration ANNOUNCE_TIMEOUT = Duration.ofSeconds(1);
    private static final long ANNOUNCE_INTERVAL_MS = 1_000;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("backend", true));
    private final ChannelGroup channels = new DefaultChannelGroup(group.next());
    private final HttpMessageClient http = HttpMessageClient.create(group, ANNOUNCE_TIMEOUT);
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final long warmAtNanos;
    private final BackendSettings settings;
    private final BackendCalls calls;
    private final Optional<Announcer> announcer;
    private final Runnable onCrash;
    private final HostPort address;
    private Phase phase = Phase.STARTING;
    private boolean crashed;
    private long minimumDrainEndNanos;

    private BackendStandin(BackendSettings settings, Behaviour behaviour, Runnable onCrash) {
        this.settings = settings;
        this.onCrash = onCrash;
        this.warmAtNanos = System.nanoTime() + settings.coldStart().toNanos();
        this.calls = new BackendCalls(settings, behaviour, new CallListener());
        this.announcer = settings.node().map(node -> new Announcer(http, node));
        Channel server = listen();
        InetSocketAddress bound = (InetSocketAddress) server.localAddress();
        this.address = new HostPort(bound.getAddress().getHostAddress(), bound.getPort());
        group.execute(this::announceAndRepeat);
    }

    /**
     * Starts a healthy server.
     *
     * @param settings its settings
     * @return the running server
     */
    public static BackendStandin start(BackendSettings settings) {
        return start(settings, Behaviour.HEALTHY, () -> {});
    }

    /**
     * Starts a server.
     *
     * @param settings its settings
     * @param behaviour its latency and faults
     * @param onCrash runs after a request with the crash marker has ended the server
     * @return the running server
     */
    public static BackendStandin start(BackendSettings settings, Behaviour behaviour, Runnable onCrash) {
        return new BackendStandin(settings, behaviour, onCrash);
    }

    /**
     * Returns the address of the server.
     *
     * @return the bound address
     */
    public HostPort address() {
        return address;
    }

    /**
     * Changes latency and faults.
     *
     * @param behaviour the new behaviour
     */
    public void setBehaviour(Behaviour behaviour) {
        group.submit(() -> calls.setBehaviour(behaviour)).syncUninterruptibly();
    }

    /**
     * Returns the statistics of the server.
     *
     * @return the counts since the start
     */
    public BackendStats stats() {
        return group.submit(() -> calls.counters().stats())
                .syncUninterruptibly()
                .getNow();
    }

    /**
     * Returns the announced phase.
     *
     * @return the phase
     */
    public Phase phase() {
        return group.submit(this::currentPhase).syncUninterruptibly().getNow();
    }

    /**
     * Starts a graceful stop: {@link Phase#DRAINING}, then {@link Phase#LEAVING} when the calls have finished.
     *
     * @return completes when the server has announced {@link Phase#LEAVING}
     */
    public CompletionStage<Void> drain() {
        group.execute(this::startDraining);
        return stopped;
    }

    @Override
    public void close() {
        channels.close().syncUninterruptibly();
        http.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Channel listen() {
        Channel server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel connection) {
                        channels.add(connection);
                        connection
                                .pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                        new BackendServerConnection(calls));
                    }
                })
                .bind(settings.listen().host(), settings.listen().port())
                .syncUninterruptibly()
                .channel();
        channels.add(server);
        return server;
    }

    private void announceAndRepeat() {
        if (crashed) {
            return;
        }
        group.schedule(this::announceAndRepeat, ANNOUNCE_INTERVAL_MS, TimeUnit.MILLISECONDS);
        if (currentPhase() == Phase.STARTING) {
            // Announce the end of the warm-up at once; the next periodic announcement may come much later.
            group.schedule(this::announce, warmUpRemainingNanos(), TimeUnit.NANOSECONDS);
        }
        announce();
    }

    /** Ends the warm-up by the clock, since a timer may run after the responses that waited for its end. */
    private Phase currentPhase() {
        if (phase == Phase.STARTING && warmUpRemainingNanos() == 0) {
            phase = Phase.READY;
            LOG.info("ready", "service", settings.service(), "version", settings.version(), "address", address);
        }
        return phase;
    }

    private CompletionStage<Void> announce() {
        Phase announcedPhase = currentPhase();
        if (announcer.isEmpty() || crashed || calls.behaviour().frozen()) {
            return CompletableFuture.completedFuture(null);
        }
        Announcement announcement = new Announcement(
                settings.service(),
                settings.version(),
                address.host(),
                address.port(),
                settings.slots(),
                settings.connections(),
                announcedPhase.announcedState(),
                calls.loadPermille(),
                settings.resources());
        return announcer.get().announce(announcement).thenAccept(drain -> {
            if (drain) {
                group.execute(this::startDraining);
            }
        });
    }

    private void startDraining() {
        if (phase == Phase.DRAINING || phase == Phase.LEAVING) {
            return;
        }
        phase = Phase.DRAINING;
        minimumDrainEndNanos = System.nanoTime() + settings.minimumDrain().toNanos();
        LOG.info("draining", "address", address, "running", calls.counters().running());
        announce();
        group.schedule(this::stopWhenIdle, settings.minimumDrain().toNanos(), TimeUnit.NANOSECONDS);
    }

    private void stopWhenIdle() {
        boolean idle = calls.counters().running() == 0;
        if (phase == Phase.DRAINING && idle && System.nanoTime() - minimumDrainEndNanos >= 0) {
            phase = Phase.LEAVING;
            LOG.info("leaving", "address", address);
            announce().whenComplete((done, failure) -> stopped.complete(null));
        }
    }

    private long warmUpRemainingNanos() {
        return Math.max(0, warmAtNanos - System.nanoTime());
    }

    private final class CallListener implements BackendCalls.Listener {

        @Override
        public void crash() {
            crashed = true;
            LOG.warn("crashed", "address", address);
            channels.close();
            onCrash.run();
        }

        @Override
        public void drain() {
            startDraining();
        }

        @Override
        public void callEnded() {
            stopWhenIdle();
        }

        @Override
        public long warmUpRemainingMs() {
            // Rounded up, so that no response is sent before the end of the warm-up.
            return TimeUnit.NANOSECONDS.toMillis(warmUpRemainingNanos() + TimeUnit.MILLISECONDS.toNanos(1) - 1);
        }
    }
}

package org.mimosahinge.daemon.control;

import io.netty.channel.Channel;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.mimosahinge.api.operator.NodeList;
import org.mimosahinge.api.settings.NodeSettings;
import org.mimosahinge.api.world.BackendServer;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.core.fanout.FanoutPolicy;
import org.mimosahinge.core.fanout.TokenBucket;
import org.mimosahinge.core.lease.LeaseTiming;
import org.mimosahinge.core.membership.FailureDetector;
import org.mimosahinge.core.move.CallOutcomes;
import org.mimosahinge.core.poison.Fingerprint;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.log.EventLog;

/** The control state of a node; only the control thread may use it, but for queries by {@link #ask}. */
public final class ControlPlane {

    /** Interval of {@link #tick()}. */
    public static final Duration TICK = Duration.ofMillis(250);

    private static final EventLog LOG = EventLog.of("control");

    /** Children admitted per second after a storm of reconnects, and at once. */
    private static final double ADMISSIONS_PER_SECOND = 20;

    private static final double ADMISSION_BURST = 16;

    private final NodeContext context;
    private final ControlLoop loop;
    private final SnapshotReference snapshots;
    private final FanoutPolicy fanout;
    private final Links links = new Links();
    private final LocalEndpoints local;
    private final Membership membership;
    private final Distribution distribution;
    private final LeaseKeeper relay;
    private final LeaseKeeper gateway;
    private final HeadReader headReader;
    private final ParentSearch parentSearch;
    private final Submissions submissions;
    private final Fleet fleet;
    private final MoveCoordinator moves;
    private final NodeRegistration registration;

    private PeerChannels channels;
    private Quarantines quarantines;
    private FailureDetector detector;
    private TokenBucket admissions;
    private long nextSecondNanos;
    private long nextPollNanos;
    private long heartbeats;
    private boolean stopping;

    /**
     * Creates the control state of a node.
     *
     * @param context the node, its settings and its surroundings
     * @param loop the control thread
     * @param snapshots receives each new snapshot
     * @param fanout how configuration reaches the nodes
     */
    public ControlPlane(NodeContext context, ControlLoop loop, SnapshotReference snapshots, FanoutPolicy fanout) {
        this.context = context;
        this.fanout = fanout;
        this.loop = loop;
        this.snapshots = snapshots;
        Node self = context.self();
        NodeSettings settings = context.settings();
        LeaseTiming timing = LeaseKeeper.timing(settings);
        local = new LocalEndpoints(self);
        membership = new Membership(self, snapshots, local, links, context.nanoTime());
        distribution = new Distribution(snapshots, links);
        relay = new LeaseKeeper(Rows.relay(self.zone()), context, timing);
        gateway = new LeaseKeeper(Rows.gateway(settings.region()), context, timing);
        headReader = new HeadReader(context, snapshots, gateway, fanout.headAccess());
        parentSearch = new ParentSearch(context, fanout.placement(), relay, gateway, this::dial, distribution::require);
        submissions = new Submissions(context, snapshots, this::headMoved);
        fleet = new Fleet(links, snapshots);
        moves = new MoveCoordinator(context, timing, snapshots, links, membership, this::headMoved);
        registration = new NodeRegistration(context);
        detector = FailureDetector.create(context.now());
        admissions = TokenBucket.full(ADMISSIONS_PER_SECOND, ADMISSION_BURST, context.now());
    }

    /**
     * Sets how connections are opened and requests refused; must be called before the first tick.
     *
     * @param peerChannels the channels of this daemon
     * @param refuse refuses requests with a fingerprint for some time on this node
     */
    public void use(PeerChannels peerChannels, BiConsumer<Fingerprint, Duration> refuse) {
        channels = peerChannels;
        quarantines = new Quarantines(links, refuse, context.nanoTime());
    }

    /** Does what is due: heartbeats, leases, expiry, the search for a parent. */
    public void tick() {
        long now = context.now();
        registration.advance();
        FailureDetector.TickResult verdict = detector.tick(now);
        detector = verdict.next();
        links.all().stream()
                .filter(link -> verdict.suspects().contains(link.node().id()))
                .forEach(ControlLink::close);
        membership.publish(local.expire(now));
        removeFailedNodes();
        advanceRoles();
        if (now - nextSecondNanos >= 0) {
            nextSecondNanos = now + context.settings().heartbeat().toNanos();
            heartbeats++;
            links.broadcast(new Frame.Heartbeat(heartbeats), null);
            membership.forgetOldTombstones();
            fleet.report();
            moves.advance(isRoot(), Instant.now());
        }
    }

    private void advanceRoles() {
        long now = context.now();
        if (relay.held().isPresent()) {
            relay.advance();
        }
        if (gateway.held().isPresent()) {
            gateway.advance();
        }
        if (isRoot()) {
            if (now - nextPollNanos >= 0) {
                nextPollNanos = now + context.settings().headPoll().toNanos();
                headReader.poll(distribution::apply);
            }
        } else if (links.parent().isEmpty() && !stopping) {
            parentSearch.advance();
        }
    }

    private boolean isRoot() {
        boolean storeRegion =
                context.settings().region().equals(context.settings().storeRegion());
        return fanout.headAccess().readsHead(storeRegion && gateway.held().isPresent());
    }

    private void removeFailedNodes() {
        List<Node> failed = membership.removeFailed();
        relay.held().ifPresent(lease -> registration.remove(failed, lease));
    }

    private void dial(ParentSearch.Dial dial) {
        dial.started(channels.dial(dial.candidate().address(), dial.timeout()));
    }

    private void headMoved(long version) {
        if (isRoot()) {
            headReader.poll(distribution::apply);
        } else {
            links.parent().ifPresent(parent -> parent.send(new Frame.HeadHint(version)));
        }
    }

    /**
     * Returns what handles this node's control connections.
     *
     * @return the handler, which hands events over to the control thread
     */
    public PeerChannels.Events events() {
        return new ControlEvents(this, loop);
    }

    Frame.Hello hello() {
        var snapshot = snapshots.get();
        return new Frame.Hello(
                Frame.Purpose.CONTROL,
                context.self(),
                snapshot.version(),
                snapshot.provenCurrent(),
                context.settings().interests());
    }

    void linkOpened(Channel channel, Frame.Hello hello, boolean dialed) {
        if (!dialed) {
            TokenBucket.Acquisition admission = admissions.tryAcquire(context.now());
            admissions = admission.next();
            if (!admission.acquired() || stopping) {
                LOG.info("child_refused", "child", hello.node().id(), "reason", stopping ? "stopping" : "rate");
                channel.close();
                return;
            }
        }
        ControlLink link =
                new ControlLink(channel, hello, dialed ? ControlLink.Direction.PARENT : ControlLink.Direction.CHILD);
        if (!link.isOpen()) {
            linkClosed(channel);
            return;
        }
        links.add(channel, link);
        detector = detector.recordHeartbeat(hello.node().id(), context.now());
        LOG.info("link_opened", "node", hello.node().id(), "direction", link.direction(), "version", hello.version());
        if (dialed) {
            parentSearch.attached();
        } else {
            distribution.pushTo(link);
        }
        fleet.linkOpened(link);
        membership.synchronize(link);
    }

    void linkClosed(Channel channel) {
        parentSearch.closed(channel);
        links.remove(channel).ifPresent(link -> {
            LOG.info("link_closed", "node", link.node().id(), "direction", link.direction());
            detector = detector.remove(link.node().id());
            if (link.direction() == ControlLink.Direction.PARENT) {
                parentSearch.restart(link.node().id());
            }
            membership.lost(link);
        });
    }

    void frameReceived(Channel channel, Frame frame) {
        links.of(channel).ifPresent(link -> frameReceived(link, frame));
    }

    private void frameReceived(ControlLink link, Frame frame) {
        detector = detector.recordHeartbeat(link.node().id(), context.now());
        if (frame instanceof Frame.Config config) {
            if (!distribution.apply(config.update())) {
                link.send(new Frame.ConfigRequest(snapshots.get().version()));
            }
        } else if (frame instanceof Frame.ConfigRequest) {
            distribution.sendFull(link);
        } else if (frame instanceof Frame.Endpoints endpoints) {
            membership.received(endpoints, link);
        } else if (frame instanceof Frame.HaltMarks halts) {
            membership.received(halts, link);
        } else if (frame instanceof Frame.HeadHint hint) {
            headMoved(hint.version());
        } else if (frame instanceof Frame.VersionReport report) {
            fleet.received(link, report);
        } else if (frame instanceof Frame.CallOutcomes evidence) {
            moves.received(evidence);
        } else if (frame instanceof Frame.Quarantine quarantine) {
            quarantines.received(quarantine, link);
        } else if (frame instanceof Frame.Drain drain) {
            drain(drain.endpointId(), link);
        }
    }

    /**
     * Takes note of a backend server beside this node.
     *
     * @param server the backend server
     * @param state its state
     */
    public void announced(BackendServer server, EndpointState state) {
        local.announced(server, state, context.now()).ifPresent(endpoint -> membership.publish(List.of(endpoint)));
    }

    /**
     * Stops new work for an endpoint, wherever it is.
     *
     * @param endpointId the endpoint
     * @return whether the endpoint is known; its own node confirms by a new state
     */
    public CompletionStage<Boolean> drainAnywhere(String endpointId) {
        return ask(plane -> {
            boolean known = snapshots.get().endpoints().values().stream()
                    .flatMap(List::stream)
                    .anyMatch(endpoint -> endpoint.id().equals(endpointId));
            if (known) {
                drain(endpointId, null);
            }
            return known;
        });
    }

    private void drain(String endpointId, ControlLink from) {
        local.drain(endpointId)
                .ifPresentOrElse(
                        endpoint -> membership.publish(List.of(endpoint)),
                        () -> links.broadcast(new Frame.Drain(endpointId), from));
    }

    /**
     * Marks an endpoint as gone after its backend server refused connections.
     *
     * @param endpointId the endpoint
     */
    public void refused(String endpointId) {
        local.refused(endpointId).ifPresent(endpoint -> membership.publish(List.of(endpoint)));
    }

    /**
     * Takes note of outcomes of this node's own calls during moves.
     *
     * @param evidence evidence by service
     */
    public void callEvidence(Map<String, CallOutcomes> evidence) {
        moves.ownCalls(evidence);
    }

    /**
     * Spreads the fingerprint of a request that crashed backend servers.
     *
     * @param request the fingerprint, refused on this node already
     * @param time how long it is refused
     */
    public void quarantined(Fingerprint request, Duration time) {
        quarantines.found(request, time);
    }

    /**
     * Returns how many nodes this node knows of.
     *
     * @return the count, this node included
     */
    public int nodesKnown() {
        return fleet.nodesKnown();
    }

    /**
     * Returns how many nodes have a version or a later one in force.
     *
     * @param version the version
     * @return the count, this node included
     */
    public int nodesInForce(long version) {
        return fleet.nodesInForce(version);
    }

    /**
     * Tells whether this node passes configuration on without holding a role.
     *
     * @return whether it has a parent and children and is not a relay
     */
    public boolean isInnerNode() {
        return links.parent().isPresent()
                && !links.children().isEmpty()
                && relay.held().isEmpty();
    }

    /**
     * Lists the nodes that are registered with the platform.
     *
     * @return the nodes
     */
    public CompletionStage<NodeList> nodes() {
        return fleet.nodes(context);
    }

    /**
     * Returns the part that accepts changed sections.
     *
     * @return the submissions of this node
     */
    public Submissions submissions() {
        return submissions;
    }

    /** Withdraws this node's endpoints and roles before a planned stop. */
    public void leave() {
        LOG.info("leaving", "node", context.self().id());
        stopping = true;
        membership.publish(local.drainAll());
        List.of(relay, gateway).forEach(role -> {
            role.leave();
            role.advance();
        });
        moves.leave();
    }

    /**
     * Runs a query on the control thread.
     *
     * @param query reads control state
     * @param <T> type of the result
     * @return the result
     */
    public <T> CompletionStage<T> ask(Function<ControlPlane, T> query) {
        return CompletableFuture.supplyAsync(() -> query.apply(this), loop);
    }
}

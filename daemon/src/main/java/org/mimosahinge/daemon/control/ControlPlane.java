package org.mimosahinge.daemon.control;

import io.netty.channel.Channel;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
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
import org.mimosahinge.daemon.traffic.CrashKnowledge;
import org.mimosahinge.daemon.traffic.TrafficEvent;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.log.EventLog;

/** The control state of a node; only the control thread may use it, except for queries by {@link #query}. */
public final class ControlPlane {

    /** Interval of {@link #tick()}. */
    public static final Duration TICK = Duration.ofMillis(250);

    private static final EventLog LOG = EventLog.of("control");

    /**
     * Limits on accepting children per second and in a burst, which spread the work when many nodes reconnect at once.
     */
    private static final double CHILD_ADMISSIONS_PER_SECOND = 20;

    private static final double CHILD_ADMISSION_BURST = 16;

    private final NodeContext context;
    private final ControlLoop loop;
    private final SnapshotReference snapshots;
    private final FanoutPolicy fanout;
    private final ControlLinks links = new ControlLinks();
    private final LocalEndpoints localEndpoints;
    private final Membership membership;
    private final Distribution distribution;
    private final LeaseManager relayLease;
    private final LeaseManager gatewayLease;
    private final HeadReader headReader;
    private final ParentSearch parentSearch;
    private final SubmissionService submissions;
    private final VersionReports versionReports;
    private final MoveCoordinator moveCoordinator;
    private final NodeRegistration registration;

    private PeerChannels channels;
    private CrashReports crashReports;
    private FailureDetector detector;
    private TokenBucket childAdmissions;
    private long nextHeartbeatNanos;
    private long nextHeadPollNanos;
    private long heartbeatSequence;
    private boolean stopping;

    /**
     * Creates the control state of a node.
     *
     * @param context the node, its settings and its platform clients
     * @param loop the control thread
     * @param snapshots holds the snapshot in force
     * @param fanout how configuration is distributed to the nodes
     */
    public ControlPlane(NodeContext context, ControlLoop loop, SnapshotReference snapshots, FanoutPolicy fanout) {
        this.context = context;
        this.fanout = fanout;
        this.loop = loop;
        this.snapshots = snapshots;
        Node self = context.self();
        NodeSettings settings = context.settings();
        LeaseTiming timing = LeaseManager.timing(settings);
        localEndpoints = new LocalEndpoints(self);
        membership = new Membership(self, snapshots, localEndpoints, links, context.nanoTime());
        distribution = new Distribution(snapshots, links);
        relayLease = new LeaseManager(RowCodec.relayLeaseKey(self.zone()), context, timing);
        gatewayLease = new LeaseManager(RowCodec.gatewayLeaseKey(settings.region()), context, timing);
        headReader = new HeadReader(context, snapshots, gatewayLease, fanout.headAccess());
        parentSearch = new ParentSearch(
                context, fanout.placement(), relayLease, gatewayLease, this::dial, distribution::requireVersion);
        submissions = new SubmissionService(context, snapshots, this::headChanged);
        versionReports = new VersionReports(links, snapshots);
        moveCoordinator = new MoveCoordinator(context, timing, snapshots, links, membership, this::headChanged);
        registration = new NodeRegistration(context);
        detector = FailureDetector.create(context.nowNanos());
        childAdmissions = TokenBucket.full(CHILD_ADMISSIONS_PER_SECOND, CHILD_ADMISSION_BURST, context.nowNanos());
    }

    /**
     * Sets the channels and the knowledge of crashes; must be called before the first tick.
     *
     * @param peerChannels the channels of this daemon
     * @param crashes what the traffic threads know of requests that were in flight at crashes
     */
    public void initialize(PeerChannels peerChannels, CrashKnowledge crashes) {
        channels = peerChannels;
        crashReports = new CrashReports(crashes);
    }

    /**
     * Runs periodic work: heartbeats, lease renewal, expiry of silent nodes and endpoints, and the search for a parent.
     */
    public void tick() {
        long nowNanos = context.nowNanos();
        registration.advance();
        FailureDetector.TickResult verdict = detector.tick(nowNanos);
        detector = verdict.next();
        links.all().stream()
                .filter(link -> verdict.suspects().contains(link.node().id()))
                .forEach(ControlLink::close);
        membership.publish(localEndpoints.expire(nowNanos));
        removeFailedNodes();
        advanceRoles();
        if (nowNanos - nextHeartbeatNanos >= 0) {
            nextHeartbeatNanos = nowNanos + context.settings().heartbeat().toNanos();
            heartbeatSequence++;
            links.broadcast(new Frame.Heartbeat(heartbeatSequence), null);
            membership.removeExpiredTombstones();
            versionReports.sendChanged();
            moveCoordinator.advance(isRoot(), Instant.now());
        }
    }

    private void advanceRoles() {
        long nowNanos = context.nowNanos();
        if (relayLease.held().isPresent()) {
            relayLease.advance();
        }
        if (gatewayLease.held().isPresent()) {
            gatewayLease.advance();
        }
        if (isRoot()) {
            if (nowNanos - nextHeadPollNanos >= 0) {
                nextHeadPollNanos = nowNanos + context.settings().headPoll().toNanos();
                headReader.poll(distribution::apply);
            }
        } else if (links.parent().isEmpty() && !stopping) {
            parentSearch.advance();
        }
    }

    private boolean isRoot() {
        boolean storeRegion =
                context.settings().region().equals(context.settings().storeRegion());
        return fanout.headAccess().readsHead(storeRegion && gatewayLease.held().isPresent());
    }

    private void removeFailedNodes() {
        List<Node> failed = membership.removeFailed();
        relayLease.held().ifPresent(lease -> registration.removeFailed(failed, lease));
    }

    private void dial(ParentSearch.DialAttempt dial) {
        dial.started(channels.dial(dial.candidate().address(), dial.timeout()));
    }

    private void headChanged(long version) {
        if (isRoot()) {
            headReader.poll(distribution::apply);
        } else {
            links.parent().ifPresent(parent -> parent.send(new Frame.HeadHint(version)));
        }
    }

    /**
     * Returns the listener for this node's control connections.
     *
     * @return the listener, which forwards events to the control thread
     */
    public PeerChannels.Listener connectionListener() {
        return new ControlConnectionListener(this, loop);
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

    void linkOpened(Channel channel, Frame.Hello hello, boolean outbound) {
        if (!outbound) {
            TokenBucket.Acquisition admission = childAdmissions.tryAcquire(context.nowNanos());
            childAdmissions = admission.next();
            if (!admission.acquired() || stopping) {
                LOG.info("child_refused", "child", hello.node().id(), "reason", stopping ? "stopping" : "rate");
                channel.close();
                return;
            }
        }
        ControlLink link =
                new ControlLink(channel, hello, outbound ? ControlLink.Direction.PARENT : ControlLink.Direction.CHILD);
        if (!link.isOpen()) {
            linkClosed(channel);
            return;
        }
        links.add(channel, link);
        detector = detector.recordHeartbeat(hello.node().id(), context.nowNanos());
        LOG.info("link_opened", "node", hello.node().id(), "direction", link.direction(), "version", hello.version());
        if (outbound) {
            parentSearch.connected();
        } else {
            distribution.pushTo(link);
        }
        versionReports.linkOpened(link);
        membership.sendState(link);
    }

    void linkClosed(Channel channel) {
        parentSearch.channelClosed(channel);
        links.remove(channel).ifPresent(link -> {
            LOG.info("link_closed", "node", link.node().id(), "direction", link.direction());
            detector = detector.remove(link.node().id());
            if (link.direction() == ControlLink.Direction.PARENT) {
                parentSearch.parentLost(link.node().id());
            }
            membership.linkClosed(link);
        });
    }

    void frameReceived(Channel channel, Frame frame) {
        links.find(channel).ifPresent(link -> frameReceived(link, frame));
    }

    private void frameReceived(ControlLink link, Frame frame) {
        detector = detector.recordHeartbeat(link.node().id(), context.nowNanos());
        if (frame instanceof Frame.Config config) {
            if (!distribution.apply(config.update())) {
                link.send(new Frame.ConfigRequest(snapshots.get().version()));
            }
        } else if (frame instanceof Frame.ConfigRequest) {
            distribution.sendFull(link);
        } else if (frame instanceof Frame.Endpoints endpoints) {
            membership.received(endpoints, link);
        } else if (frame instanceof Frame.HaltMarks haltMarks) {
            membership.received(haltMarks, link);
        } else if (frame instanceof Frame.HeadHint hint) {
            headChanged(hint.version());
        } else if (frame instanceof Frame.VersionReport report) {
            versionReports.reportReceived(link, report);
        } else if (frame instanceof Frame.CallOutcomes outcomes) {
            moveCoordinator.received(outcomes);
        } else if (frame instanceof Frame.RequestCrashes crashes) {
            // What is known here already is not forwarded, which ends the distribution.
            if (crashReports.received(crashes)) {
                links.broadcast(crashes, link);
            }
        } else if (frame instanceof Frame.Drain drain) {
            drain(drain.endpointId(), link);
        }
    }

    /**
     * Records an announcement of a local backend server.
     *
     * @param server the backend server
     * @param state its state
     */
    public void backendAnnounced(BackendServer server, EndpointState state) {
        localEndpoints
                .recordAnnouncement(server, state, context.nowNanos())
                .ifPresent(endpoint -> membership.publish(List.of(endpoint)));
    }

    /**
     * Drains an endpoint, which may belong to any node.
     *
     * @param endpointId the endpoint
     * @return whether the endpoint is known; its own node confirms with a new state
     */
    public CompletionStage<Boolean> drainEndpoint(String endpointId) {
        return query(plane -> {
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
        localEndpoints
                .drain(endpointId)
                .ifPresentOrElse(
                        endpoint -> membership.publish(List.of(endpoint)),
                        () -> links.broadcast(new Frame.Drain(endpointId), from));
    }

    /**
     * Marks a local endpoint as gone after its backend server refused a connection.
     *
     * @param endpointId the endpoint
     */
    public void connectionRefused(String endpointId) {
        localEndpoints.markGone(endpointId).ifPresent(endpoint -> membership.publish(List.of(endpoint)));
    }

    /**
     * Adds outcomes of this node's own calls to services with a move.
     *
     * @param outcomes call outcomes by service
     */
    public void addCallOutcomes(Map<String, CallOutcomes> outcomes) {
        moveCoordinator.addLocalOutcomes(outcomes);
    }

    /**
     * Tells the other nodes of a request that was in flight at a crash.
     *
     * @param known what this node knows of the request
     */
    public void crashesKnown(TrafficEvent.CrashesKnown known) {
        links.broadcast(crashReports.toFrame(known), null);
    }

    /**
     * Returns how many nodes this node knows of.
     *
     * @return the count, this node included
     */
    public int nodeCount() {
        return versionReports.nodeCount();
    }

    /**
     * Returns how many nodes have a version or a later one in force.
     *
     * @param version the version
     * @return the count, this node included
     */
    public int nodesInForce(long version) {
        return versionReports.nodesInForce(version);
    }

    /**
     * Returns whether this node distributes configuration without holding a role.
     *
     * @return true if it has a parent and children and is not a relay
     */
    public boolean isInnerNode() {
        return links.parent().isPresent()
                && !links.children().isEmpty()
                && relayLease.held().isEmpty();
    }

    /**
     * Lists the nodes that are registered with the platform.
     *
     * @return the nodes
     */
    public CompletionStage<NodeList> listNodes() {
        return versionReports.listNodes(context);
    }

    /**
     * Returns the service that accepts changed sections.
     *
     * @return the submission service
     */
    public SubmissionService submissions() {
        return submissions;
    }

    /** Drains this node's endpoints and releases its leases before a planned stop. */
    public void shutDown() {
        LOG.info("leaving", "node", context.self().id());
        stopping = true;
        membership.publish(localEndpoints.drainAll());
        List.of(relayLease, gatewayLease).forEach(lease -> {
            lease.resign();
            lease.advance();
        });
        moveCoordinator.shutDown();
    }

    /**
     * Runs a query on the control thread.
     *
     * @param query reads control state
     * @param <T> type of the result
     * @return the result
     */
    public <T> CompletionStage<T> query(Function<ControlPlane, T> query) {
        return CompletableFuture.supplyAsync(() -> query.apply(this), loop);
    }
}

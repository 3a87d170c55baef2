package org.mimosahinge.daemon.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.contract.ServiceLimits;
import org.mimosahinge.api.contract.ServiceShare;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.core.admission.InternalCheckDetector;
import org.mimosahinge.core.fanout.RowSourcePolicy;
import org.mimosahinge.core.membership.ServerReport;
import org.mimosahinge.core.poison.Fingerprint;
import org.mimosahinge.daemon.control.CallOutcomeFrames;
import org.mimosahinge.daemon.control.SnapshotReference;
import org.mimosahinge.daemon.traffic.TrafficEvent;
import org.mimosahinge.daemon.traffic.TrafficPlane;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.log.EventLog;

/** The control state of a node of a directly connected fleet; only the control thread may use it. */
public final class FleetControl {

    /** Interval of {@link #tick()}: short against the two seconds within which changes must be in force. */
    public static final Duration TICK = Duration.ofMillis(200);

    private static final EventLog LOG = EventLog.of("fleet");

    /** Calls that may wait beside one backend server; the target latency bounds the queue long before. */
    private static final int QUEUE = 256;

    /** Part of the fleet's bound on repeats that is used, since windows slide and calls are counted elsewhere. */
    private static final double BUDGET_PART = 0.6;

    /** Time by which the next node waits longer before it does what all could do. */
    private static final long RANK_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Time after which a node is ready although it has not reached all others. */
    private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    private static final long REGISTER_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final int PERCENT = 100;

    private final Node self;
    private FleetSettings settings;
    private final SnapshotReference snapshots;
    private final FleetOutputs outputs;
    private final RowDecoder decoder;
    private final LongSupplier nanoTime;
    private final RowExchange exchange;
    private final Set<Fingerprint> quarantined = new HashSet<>();
    private final Set<String> departed = new HashSet<>();
    private final Peers peers;
    private final LocalServer local;
    private final MoveDesk moves;
    private TrafficPlane traffic;
    private RowReading reading;
    private Optional<Document> document = Optional.empty();
    private List<Route> routes = List.of();
    private long documentNanos;
    private long registerAtNanos;
    private boolean registered;
    private boolean registering;
    private boolean stopping;
    private long lastTickNanos;
    private volatile Optional<ServerReport> serverReport = Optional.empty();
    private volatile boolean ready;
    private volatile long newestRevision;

    /**
     * Creates the control state.
     *
     * @param self this node
     * @param settings bounds of the fleet
     * @param snapshots receives each new snapshot
     * @param outputs writes to the platform
     * @param decoder decodes rows
     * @param sources decides which nodes read rows on the platform
     * @param nanoTime monotonic clock
     */
    public FleetControl(
            Node self,
            FleetSettings settings,
            SnapshotReference snapshots,
            FleetOutputs outputs,
            RowDecoder decoder,
            RowSourcePolicy sources,
            LongSupplier nanoTime) {
        this.self = self;
        this.settings = settings;
        this.snapshots = snapshots;
        this.outputs = outputs;
        this.decoder = decoder;
        this.nanoTime = nanoTime;
        peers = new Peers(self.id());
        exchange = new RowExchange(self, sources, new PeerRows(), nanoTime.getAsLong());
        local = new LocalServer(self);
        moves = new MoveDesk(nanoTime.getAsLong());
        registerAtNanos = nanoTime.getAsLong();
        lastTickNanos = nanoTime.getAsLong();
    }

    /**
     * Sets what carries calls and frames; must be called before any event.
     *
     * @param plane the traffic plane
     */
    public void use(TrafficPlane plane) {
        traffic = plane;
        plane.revisionFrom(() -> newestRevision);
    }

    /**
     * Sets what follows the operators' rows on the platform; must be called before any event. It follows them at first.
     *
     * @param rows follows the rows
     */
    public void use(RowReading rows) {
        reading = rows;
    }

    /** Carries rows over the connections between nodes. */
    private final class PeerRows implements RowLinks {

        @Override
        public void ask(Node parent, Frame.RowSubscription request) {
            traffic.tellDialed(parent.address(), request);
        }

        @Override
        public void tell(NodeId child, Frame frame) {
            traffic.tellServed(child, List.of(frame));
        }

        @Override
        public void read(boolean wanted, long after) {
            reading.follow(wanted, after);
        }
    }

    /**
     * Tells whether callers should be sent to this node; may be asked on any thread.
     *
     * @return true with a configuration in force and other nodes tried
     */
    public boolean ready() {
        return ready;
    }

    /**
     * Takes the operators' rows that this node has read on the platform.
     *
     * @param rows the rows, in any order
     * @param readRevision revision of the platform at its answer
     * @param platformMs the platform's clock at its answer, in milliseconds
     */
    public void operatorRows(Collection<StoredRow> rows, long readRevision, long platformMs) {
        rows(rows);
        exchange.read(readRevision, platformMs, now());
    }

    /**
     * Takes rows that this node has read on the platform.
     *
     * @param rows the rows, in any order
     */
    public void rows(Collection<StoredRow> rows) {
        rows(rows, Optional.empty());
    }

    private void rows(Collection<StoredRow> rows, Optional<NodeId> from) {
        boolean changed = false;
        boolean dial = false;
        for (StoredRow row : rows) {
            Optional<FleetRow> decoded = row.removed() ? Optional.empty() : decoder.decode(row);
            if (decoded.isPresent() && decoded.get() instanceof FleetRow.NodeRow nodeRow) {
                dial |= peers.learned(nodeRow.node(), now());
                peers.registered(nodeRow.node(), row.revision());
            } else if (decoded.isPresent()
                    && exchange.accept(row, !(decoded.get() instanceof FleetRow.OutcomeRow), from, now())) {
                changed |= take(
                        decoded.get(), row.revision(), from.map(NodeId::value).orElse("platform"));
            }
        }
        if (dial) {
            traffic.keepPeers(peers.addresses());
        }
        if (changed) {
            publish();
        }
        newestRevision = exchange.newest();
    }

    /**
     * Takes note that the row of a node was removed.
     *
     * @param node the node
     */
    public void nodeRemoved(NodeId node) {
        if (node.equals(self.id())) {
            registered = false;
        } else if (peers.removed(node)) {
            LOG.info("node_removed", "node", node);
            traffic.keepPeers(peers.addresses());
            publish();
        }
    }

    private boolean take(FleetRow row, long revision, String source) {
        if (row instanceof FleetRow.DocumentRow documentRow) {
            return applied(documentRow.document(), revision, source);
        }
        if (row instanceof FleetRow.OrderRow orderRow) {
            moves.ordered(orderRow.order(), revision, now());
            return true;
        }
        if (row instanceof FleetRow.OutcomeRow outcomeRow) {
            return moves.published(outcomeRow.outcome(), revision, now());
        }
        return false;
    }

    private boolean applied(Document next, long revision, String source) {
        long held = document.map(Document::version).orElse(0L);
        if (next.version() <= held) {
            LOG.info("update_ignored", "version", next.version(), "held", held, "revision", revision);
            return false;
        }
        if (document.isEmpty()) {
            documentNanos = now();
        }
        document = Optional.of(next);
        routes = ranked(next.routes());
        LOG.info(
                "update_applied",
                "version",
                next.version(),
                "before",
                held,
                "routes",
                next.routes().size(),
                "revision",
                revision,
                "source",
                source);
        return true;
    }

    /**
     * Takes a report of the backend server beside this node.
     *
     * @param report the report
     */
    public void reported(ServerReport report) {
        boolean changed = local.reported(report, now());
        serverReport = local.newest();
        if (changed) {
            logEndpoint("report");
            publishOwn();
            outputs.remember(self, report);
        }
    }

    /**
     * Takes the report that an earlier process of this node has kept, so that a restart need not wait for the next one.
     *
     * <p>A call for a backend server that has gone meanwhile is refused by whatever listens at its address.
     *
     * @param report the report
     */
    public void remembered(ServerReport report) {
        if (local.newest().isEmpty() && !departed.contains(report.id()) && local.reported(report, now())) {
            serverReport = local.newest();
            logEndpoint("remembered");
            publishOwn();
        }
    }

    /**
     * Takes note that a backend server has left before its reports were known here.
     *
     * @param endpointId its endpoint
     */
    public void departed(String endpointId) {
        departed.add(endpointId);
    }

    /**
     * Returns the newest report of the backend server beside this node; may be asked on any thread.
     *
     * @return the report, empty before the first
     */
    public Optional<ServerReport> serverReport() {
        return serverReport;
    }

    private void logEndpoint(String cause) {
        local.endpoint()
                .ifPresent(endpoint -> LOG.info(
                        "endpoint_state",
                        "endpoint",
                        endpoint.id(),
                        "state",
                        endpoint.state(),
                        "service",
                        endpoint.server().service(),
                        "version",
                        endpoint.server().version(),
                        "born",
                        endpoint.timestamp().incarnation(),
                        "sequence",
                        endpoint.timestamp().sequence(),
                        "cause",
                        cause));
    }

    private void publishOwn() {
        Frame.Endpoints own = new Frame.Endpoints(local.endpoints());
        traffic.greetWith(List.of(own));
        traffic.tellServed(own);
        publish();
    }

    /**
     * Takes a report of the traffic threads.
     *
     * @param event the report
     */
    public void trafficEvent(TrafficEvent event) {
        if (event instanceof TrafficEvent.CallEvidence calls) {
            moves.ownCalls(calls.evidence());
        } else if (event instanceof TrafficEvent.ConnectionRefused refused) {
            refused(refused.endpointId());
        } else if (event instanceof TrafficEvent.EndpointDied died) {
            refused(died.endpointId());
        } else if (event instanceof TrafficEvent.RequestQuarantined request) {
            quarantined(request.fingerprint(), request.refusedFor());
        } else if (event instanceof TrafficEvent.PeerUp up) {
            peerUp(up);
        } else if (event instanceof TrafficEvent.PeerDown down) {
            peers.down(down.address(), down.link(), now());
        } else if (event instanceof TrafficEvent.PeerArrived arrived) {
            peerArrived(arrived);
        } else if (event instanceof TrafficEvent.PeerTold told) {
            peerTold(told);
        }
    }

    private void refused(String endpointId) {
        if (local.refused(endpointId)) {
            logEndpoint("connection refused");
            publishOwn();
        }
    }

    private void quarantined(Fingerprint request, Duration time) {
        if (quarantined.add(request)) {
            LOG.warn("request_quarantined", "route", request.route(), "method", request.method(), "uri", request.uri());
            traffic.tellServed(new Frame.Quarantine(
                    request.route(), request.method(), request.uri(), request.bodyHash(), time.toMillis()));
        }
    }

    private void peerUp(TrafficEvent.PeerUp up) {
        boolean dial = peers.learned(up.node(), now());
        peers.up(up.node(), up.link());
        exchange.connected(up.node().id(), now());
        LOG.info("peer_up", "node", up.node().id(), "revision", up.revision(), "link", up.link());
        if (dial) {
            traffic.keepPeers(peers.addresses());
        }
        publish();
    }

    private void peerArrived(TrafficEvent.PeerArrived arrived) {
        if (peers.learned(arrived.node(), now())) {
            traffic.keepPeers(peers.addresses());
        }
    }

    private void peerTold(TrafficEvent.PeerTold told) {
        if (told.frame() instanceof Frame.Endpoints endpoints) {
            List<Endpoint> own = endpoints.endpoints().stream()
                    .filter(endpoint -> endpoint.node().id().equals(told.node().id()))
                    .toList();
            if (peers.told(told.node(), own, told.link())) {
                own.forEach(endpoint -> LOG.info(
                        "endpoint_told",
                        "endpoint",
                        endpoint.id(),
                        "state",
                        endpoint.state(),
                        "version",
                        endpoint.server().version(),
                        "node",
                        told.node().id()));
                publish();
            }
        } else if (told.frame() instanceof Frame.RowSubscription request) {
            exchange.requested(told.node().id(), request, now());
        } else if (told.frame() instanceof Frame.RowFreshness current) {
            exchange.current(told.node(), current, now());
        } else if (told.frame() instanceof Frame.RowDelta change) {
            exchange.restore(change, told.node())
                    .ifPresent(row -> rows(List.of(row), Optional.of(told.node().id())));
        } else if (told.frame() instanceof Frame.OperatorRow row) {
            rows(
                    List.of(new StoredRow(row.key(), row.revision(), row.content(), false)),
                    Optional.of(told.node().id()));
        } else if (told.frame() instanceof Frame.CallOutcomes evidence) {
            moves.peerCalls(told.node().id(), evidence.service(), CallOutcomeFrames.fromFrame(evidence));
        } else if (told.frame() instanceof Frame.Quarantine request) {
            Fingerprint fingerprint =
                    new Fingerprint(request.route(), request.method(), request.uri(), request.bodyHash());
            quarantined.add(fingerprint);
            traffic.quarantine(fingerprint, Duration.ofMillis(request.refusedForMs()));
        }
    }

    /**
     * Takes changed bounds.
     *
     * @param changed the bounds as they are now
     */
    public void reload(FleetSettings changed) {
        settings = changed;
        publish();
    }

    /** Does what is due: registration, expiry, moves, rows that others lack. */
    public void tick() {
        long now = now();
        register(now);
        if (local.expire(now, settings.heartbeat())) {
            logEndpoint("reports missing");
            publishOwn();
        }
        moves.untold().forEach((service, evidence) -> traffic.tellServed(CallOutcomeFrames.toFrame(service, evidence)));
        boolean changed = moves.advance(snapshots.get().endpoints(), now);
        if (changed
                || peers.anyChanging(now, lastTickNanos)
                || !snapshots.get().haltMarks().isEmpty()) {
            publish();
        }
        lastTickNanos = now;
        publishOutcomes(now);
        exchange.tick(peers.connected(), peers.connections(), now);
        removeUnreachable(now);
        updateReady(now);
    }

    private void register(long now) {
        if (registered || registering || stopping || now - registerAtNanos < 0) {
            return;
        }
        registering = true;
        registerAtNanos = now + REGISTER_RETRY_NANOS;
        outputs.register(self).whenComplete((done, failure) -> {
            registering = false;
            registered = failure == null;
            if (registered) {
                LOG.info("node_registered", "node", self.id(), "address", self.address());
            }
        });
    }

    private void publishOutcomes(long now) {
        for (MoveDesk.Move move : moves.moves()) {
            Optional<MoveOutcome> outcome = move.unpublished();
            long due = move.decidedNanos() + peers.rank(move.order().service()) * RANK_STEP_NANOS;
            if (outcome.isEmpty() || now - due < 0 || now - move.writeDueNanos() < 0) {
                continue;
            }
            move.writing(true);
            outputs.publish(outcome.get(), move.publishedRevision()).whenComplete((written, failure) -> {
                move.writing(false);
                if (failure != null || !written) {
                    move.writeFailed(now());
                }
                LOG.info(
                        "move_published",
                        "service",
                        outcome.get().service(),
                        "to",
                        outcome.get().to(),
                        "phase",
                        outcome.get().phase(),
                        "outcome",
                        failure == null ? written ? "written" : "another node was first" : "unknown");
            });
        }
    }

    private void removeUnreachable(long now) {
        peers.unreachable(now).filter(entry -> peers.rank("remove") == 0).ifPresent(entry -> {
            LOG.info("node_unreachable", "node", entry.getKey().id());
            peers.registered(entry.getKey(), 0);
            outputs.remove(entry.getKey(), entry.getValue());
        });
    }

    private void updateReady(long now) {
        boolean settled = document.isPresent() && (peers.allUp() || now - documentNanos >= SETTLE_NANOS);
        boolean next = settled && !stopping;
        if (next != ready) {
            LOG.info("ready", "ready", next, "peers_up", peers.up(), "peers_known", peers.known());
        }
        ready = next;
    }

    /** Ends readiness before a planned stop; the endpoint goes on while callers leave. */
    public void stopBeingReady() {
        stopping = true;
        ready = false;
    }

    /** Withdraws the endpoint before a planned stop. */
    public void leave() {
        stopBeingReady();
        local.leave();
        publishOwn();
        LOG.info("leaving", "node", self.id());
    }

    private void publish() {
        if (document.isEmpty()) {
            return;
        }
        long now = now();
        Document current = document.get();
        Map<String, List<Endpoint>> endpoints = new TreeMap<>();
        List<Endpoint> all = new ArrayList<>(peers.endpoints(now));
        all.addAll(local.endpoints());
        all.forEach(endpoint -> endpoints
                .computeIfAbsent(endpoint.server().service(), key -> new ArrayList<>())
                .add(endpoint));
        snapshots.replace(new Snapshot(
                current.version(),
                new TreeMap<>(),
                services(current, endpoints),
                Map.of(),
                routes,
                moves.states(),
                endpoints,
                moves.halts(endpoints, now),
                true,
                current.callerLimits()));
    }

    /** Ranks internal checks first and keeps the list in force when it is the same, with indexes built from it. */
    private List<Route> ranked(List<Route> next) {
        Set<String> checks = InternalCheckDetector.detectRoutes(next);
        List<Route> ranked = next.stream()
                .map(route -> checks.contains(route.name()) ? route.withCallClass(CallClass.INTERNAL_CHECK) : route)
                .toList();
        return routes.equals(ranked) ? routes : ranked;
    }

    private Map<String, Service> services(Document current, Map<String, List<Endpoint>> endpoints) {
        Set<String> names = new TreeSet<>(current.connections().keySet());
        names.addAll(endpoints.keySet());
        current.routes()
                .forEach(route ->
                        route.shares().stream().map(ServiceShare::service).forEach(names::add));
        int nodes = 1 + peers.known();
        ServiceLimits limits =
                new ServiceLimits(QUEUE, (int) Math.round(PERCENT * settings.retryRatio() * BUDGET_PART), (int)
                        Math.max(1, settings.retrySlack() * BUDGET_PART / nodes));
        Map<String, Service> services = new HashMap<>();
        for (String name : names) {
            List<String> versions = endpoints.getOrDefault(name, List.of()).stream()
                    .map(endpoint -> endpoint.server().version())
                    .distinct()
                    .sorted()
                    .toList();
            String first = versions.isEmpty() ? "" : versions.get(0);
            services.put(name, new Service(name, versions, first, Optional.empty(), limits));
        }
        return services;
    }

    private long now() {
        return nanoTime.getAsLong();
    }
}

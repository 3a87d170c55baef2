package org.mimosahinge.daemon.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.platform.StorePosition;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.core.fanout.RowSourcePolicy;
import org.mimosahinge.core.membership.ServerReport;
import org.mimosahinge.daemon.control.CallOutcomeFrames;
import org.mimosahinge.daemon.control.CrashReports;
import org.mimosahinge.daemon.control.SnapshotReference;
import org.mimosahinge.daemon.traffic.TrafficEvent;
import org.mimosahinge.daemon.traffic.TrafficPlane;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.log.EventLog;

/** The control state of a node in a directly connected fleet; only the control thread may use it. */
public final class FleetControlPlane {

    /** Interval of {@link #tick()}: short compared with the 2 s within which changes must be in force. */
    public static final Duration TICK = Duration.ofMillis(200);

    private static final EventLog LOG = EventLog.of("fleet");

    private static final long REGISTRATION_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Nodes that start at the same time learn of each other from rows that are read after both have registered. */
    private static final long JOINING_NANOS = TimeUnit.SECONDS.toNanos(3);

    /**
     * A starting node gets two messages from each other node; with a snapshot for each, over all nodes and routes, it
     * would spend more on them than on its own start.
     */
    private static final long MIN_PUBLICATION_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final long UNKNOWN_ERA = -1;

    private final Node self;
    private FleetSettings settings;
    private final SnapshotReference snapshots;
    private final FleetStore store;
    private final RowDecoder decoder;
    private final LongSupplier nanoTime;
    private final RowReplicator rowReplicator;
    private final Peers peers;
    private final LocalServerReports localServer;
    private final MoveRegistry moveRegistry;
    private final MovePublisher movePublisher;
    private final FleetReadiness readiness = new FleetReadiness();
    private final RevocationGuard revocationGuard;
    private TrafficPlane traffic;
    private CrashReports crashReports;
    private QuotaCoordinator quotas;
    private PlatformRowFollower rowFollower;
    private final FleetSnapshots fleetSnapshots = new FleetSnapshots();
    private final Evacuations evacuations = new Evacuations(fleetSnapshots::evacuate);
    private final ConfigInForce config = new ConfigInForce(this::configApplied);
    private long fleetEra = UNKNOWN_ERA;
    private long nextRegistrationNanos;
    private boolean registered;
    private long registeredNanos;
    private boolean registering;
    private boolean snapshotStale;
    private long publishedNanos;
    private long lastTickNanos;
    private volatile boolean fleetRowsUrgent = true;
    private volatile StorePosition newestRevision = StorePosition.NONE;

    /**
     * Creates the control state.
     *
     * @param self this node
     * @param settings limits of the fleet
     * @param snapshots holds the snapshot in force
     * @param platform the platform
     * @param sources decides which nodes read rows from the platform
     * @param nanoTime monotonic clock
     */
    public FleetControlPlane(
            Node self,
            FleetSettings settings,
            SnapshotReference snapshots,
            FleetPlatform platform,
            RowSourcePolicy sources,
            LongSupplier nanoTime) {
        this.self = self;
        this.settings = settings;
        this.snapshots = snapshots;
        store = platform.store();
        decoder = platform.decoder();
        this.nanoTime = nanoTime;
        peers = new Peers(self.id());
        revocationGuard = new RevocationGuard(settings.organisationBounds(), nanoTime);
        snapshots.setKeyProof(revocationGuard::covers);
        rowReplicator = new RowReplicator(self, sources, new PeerRowTransport(), nanoTime.getAsLong());
        localServer = new LocalServerReports(
                self, settings.heartbeat(), store, platform.healthCheck(), nanoTime, this::publishLocalEndpoint);
        moveRegistry = new MoveRegistry(nanoTime.getAsLong());
        movePublisher = new MovePublisher(store, peers, nanoTime);
        nextRegistrationNanos = nanoTime.getAsLong();
        lastTickNanos = nanoTime.getAsLong();
        publishedNanos = nanoTime.getAsLong();
    }

    /**
     * Sets the traffic plane, which carries calls and frames; must be called before any event.
     *
     * @param trafficPlane the traffic plane
     */
    public void initialize(TrafficPlane trafficPlane) {
        traffic = trafficPlane;
        crashReports = new CrashReports(trafficPlane);
        quotas = new QuotaCoordinator(self, peers, trafficPlane.quotas(), new PeerQuotaTransport(trafficPlane));
        trafficPlane.setRevisionSource(() -> newestRevision.number());
        trafficPlane.setColdnessSource(localServer::coldness);
    }

    /**
     * Sets the follower of the operators' rows, which is following at first; must be called before any event.
     *
     * @param follower follows the rows on the platform
     */
    public void initialize(PlatformRowFollower follower) {
        rowFollower = follower;
    }

    /** Sends rows and subscriptions over the connections between nodes. */
    private final class PeerRowTransport implements RowTransport {

        @Override
        public void request(Node parent, Frame.RowSubscription subscription) {
            traffic.sendToOutbound(parent.address(), subscription);
        }

        @Override
        public void send(NodeId child, Frame frame) {
            traffic.sendToInbound(child, List.of(frame));
        }

        @Override
        public void followPlatform(boolean enabled, StorePosition afterRevision) {
            rowFollower.follow(enabled, afterRevision);
        }
    }

    /**
     * Returns whether this node is ready for callers; may be called on any thread.
     *
     * @return true if a configuration is in force, and the other nodes are known and connected or were tried for long
     *     enough
     */
    public boolean ready() {
        return readiness.ready();
    }

    /**
     * Returns whether a change of the rows of nodes and of outcomes is needed within seconds; may be called on any
     * thread.
     *
     * @return true while this node joins the fleet or a move has no published outcome
     */
    public boolean needsFleetRowsSoon() {
        return fleetRowsUrgent;
    }

    /**
     * Applies the operators' rows that this node has read from the platform.
     *
     * @param rows the rows, in any order
     * @param readRevision position of the platform at its response
     * @param platformMs the platform's clock at its response, in milliseconds
     * @param allRows whether these are all rows, so that those that are missing were removed
     * @param sentNanos monotonic clock before the request was sent
     */
    public void operatorRowsRead(
            Collection<StoredRow> rows, StorePosition readRevision, long platformMs, boolean allRows, long sentNanos) {
        if (allRows) {
            applyRows(rowReplicator.missingFrom(rows, readRevision), Optional.empty());
        }
        applyRows(rows, Optional.empty());
        revocationGuard.responseReceived(platformMs, sentNanos);
        updateFreshness(() -> rowReplicator.platformRead(readRevision, platformMs, nowNanos()));
    }

    private void updateFreshness(Runnable update) {
        if (revocationGuard.newestConfigurationHeld()) {
            update.run();
            revocationGuard.proven(snapshots.get().version(), rowReplicator.platformMs());
        }
    }

    /**
     * Returns the age of the proof that the API keys in force are the newest ones; may be called on any thread.
     *
     * @return milliseconds, -1 without a proof
     */
    public long keyProofAgeMs() {
        return revocationGuard.ageMs();
    }

    /**
     * Applies the rows of nodes and of outcomes of moves that this node has read from the platform.
     *
     * @param rows the rows, in any order
     * @param readRevision position of the platform at its response
     * @param allRows whether these are all rows of the table
     */
    public void fleetRowsRead(Collection<StoredRow> rows, StorePosition readRevision, boolean allRows) {
        readiness.nodesRead();
        if (allRows && readRevision.era() > fleetEra) {
            storeCameBack(rows, readRevision);
        }
        applyRows(rows, Optional.empty());
    }

    /** Prepares to write again what a store has lost that came back from an older copy. */
    private void storeCameBack(Collection<StoredRow> rows, StorePosition readRevision) {
        if (fleetEra != UNKNOWN_ERA) {
            LOG.warn("store_came_back", "revision", readRevision, "held_era", fleetEra);
            moveRegistry.forgetPublished(nowNanos());
            registered &= rows.stream()
                    .map(decoder::decode)
                    .flatMap(Optional::stream)
                    .anyMatch(row -> row instanceof DecodedRow.NodeRow nodeRow
                            && nodeRow.node().equals(self));
        }
        fleetEra = readRevision.era();
    }

    private void applyRows(Collection<StoredRow> rows, Optional<NodeId> from) {
        boolean changed = false;
        boolean addressesChanged = false;
        for (StoredRow row : rows) {
            Optional<DecodedRow> decoded = decoder.decode(row);
            if (decoded.isPresent() && decoded.get() instanceof DecodedRow.NodeRow nodeRow) {
                addressesChanged |= peers.addOrUpdate(nodeRow.node(), nowNanos());
                peers.recordRow(nodeRow.node(), row.revision());
            } else if (decoded.isPresent() && decoded.get() instanceof DecodedRow.InvalidConfigRow) {
                revocationGuard.configurationRejected(row.revision());
            } else if (decoded.isPresent()
                    && decoded.get() instanceof DecodedRow.ConfigRow configRow
                    && config.isLaterThan(configRow.config())) {
                // The platform came back from an older copy: other nodes must not get this row from here.
                revocationGuard.configurationRead(row.revision());
                config.logIgnored(configRow.config(), row.revision());
            } else if (decoded.isPresent()
                    && rowReplicator.accept(
                            row, !(decoded.get() instanceof DecodedRow.MoveOutcomeRow), from, nowNanos())) {
                changed |= applyRow(
                        decoded.get(), row.revision(), from.map(NodeId::value).orElse("platform"));
            }
        }
        if (addressesChanged) {
            traffic.maintainPeers(peers.addresses());
        }
        if (changed) {
            publishSnapshot();
        }
        newestRevision = rowReplicator.newestRevision();
    }

    /**
     * Handles the removal of a node's row.
     *
     * @param node the node
     */
    public void nodeRemoved(NodeId node) {
        if (node.equals(self.id())) {
            registered = false;
        } else if (peers.remove(node)) {
            LOG.info("node_removed", "node", node);
            traffic.maintainPeers(peers.addresses());
            publishSnapshot();
        }
    }

    private boolean applyRow(DecodedRow row, StorePosition revision, String source) {
        if (row instanceof DecodedRow.ConfigRow configRow) {
            revocationGuard.configurationRead(revision);
            return config.apply(configRow.config(), revision, source);
        }
        if (row instanceof DecodedRow.MoveOrderRow orderRow) {
            moveRegistry.addOrder(orderRow.order(), revision, nowNanos());
            return true;
        }
        if (row instanceof DecodedRow.MoveOutcomeRow outcomeRow) {
            return moveRegistry.applyOutcome(outcomeRow.outcome(), revision, nowNanos());
        }
        return row instanceof DecodedRow.EvacuationRow evacuation && evacuations.apply(evacuation, revision, source);
    }

    private void configApplied(FleetConfig next) {
        readiness.configurationApplied(nowNanos());
        fleetSnapshots.apply(next);
        localServer.setHealthPaths(next.healthPathByService());
    }

    /**
     * Handles a report of the local backend server.
     *
     * @param report the report
     * @return completes when the report may be acknowledged; a departure must first be saved, or known to the other
     *     nodes while the platform is away
     */
    public CompletionStage<Void> reportReceived(ServerReport report) {
        return localServer.received(report);
    }

    /**
     * Restores the report that an earlier process of this node has saved, so that a restart need not wait for the next
     * one. A report that was received since then is replaced only by one of a later start or state. The backend server
     * gets no calls until it confirms that it has not left since.
     *
     * @param report the report
     * @param revision revision of its row
     */
    public void savedReportRead(ServerReport report, long revision) {
        localServer.savedReportRead(report, revision);
    }

    /**
     * Records that a backend server has deregistered, so that a saved report of it is not restored.
     *
     * @param endpointId the endpoint of the backend server
     */
    public void deregistered(String endpointId) {
        localServer.deregistered(endpointId);
    }

    /**
     * Returns the newest report of the local backend server; may be called on any thread.
     *
     * @return the report, empty before the first
     */
    public Optional<ServerReport> serverReport() {
        return localServer.newest();
    }

    private void publishLocalEndpoint() {
        Frame.Endpoints frame = new Frame.Endpoints(localServer.endpoints());
        traffic.sendOnConnect(List.of(frame));
        traffic.sendToInbound(frame);
        publishSnapshot();
    }

    /**
     * Handles an event of the traffic threads.
     *
     * @param event the event
     */
    public void trafficEvent(TrafficEvent event) {
        if (event instanceof TrafficEvent.CallEvidence outcomes) {
            moveRegistry.addLocalOutcomes(outcomes.outcomes());
        } else if (event instanceof TrafficEvent.ConnectionRefused refused) {
            localServer.connectionRefused(refused.endpointId());
        } else if (event instanceof TrafficEvent.EndpointDied died) {
            localServer.connectionRefused(died.endpointId());
        } else if (event instanceof TrafficEvent.CrashesKnown known) {
            traffic.sendToInbound(crashReports.toFrame(known));
        } else if (event instanceof TrafficEvent.PeerUp opened) {
            peerUp(opened);
        } else if (event instanceof TrafficEvent.PeerDown closed) {
            peers.connectionClosed(closed.address(), closed.connectionId(), nowNanos());
        } else if (event instanceof TrafficEvent.PeerArrived connected) {
            peerConnected(connected);
        } else if (event instanceof TrafficEvent.PeerTold received) {
            peerFrameReceived(received);
        }
    }

    private void peerUp(TrafficEvent.PeerUp opened) {
        boolean addressesChanged = peers.addOrUpdate(opened.node(), nowNanos());
        peers.connectionOpened(opened.node(), opened.connectionId());
        rowReplicator.connectionOpened(opened.node().id(), nowNanos());
        LOG.info("peer_up", "node", opened.node().id(), "revision", opened.revision(), "link", opened.connectionId());
        if (addressesChanged) {
            traffic.maintainPeers(peers.addresses());
        }
        publishSnapshotSoon();
    }

    private void peerConnected(TrafficEvent.PeerArrived connected) {
        if (peers.addOrUpdate(connected.node(), nowNanos())) {
            traffic.maintainPeers(peers.addresses());
        }
        sendDepartures(connected.node(), peers.departures(connected.node().id()));
        List<Frame> crashes = crashReports.openReports();
        if (!crashes.isEmpty()) {
            traffic.sendToInbound(connected.node().id(), crashes);
        }
    }

    /** Tells a node which of its endpoints have left, since a restarted node may have lost their reports. */
    private void sendDepartures(Node node, List<Endpoint> departures) {
        if (!departures.isEmpty()) {
            // The receiver takes the endpoints of this node in the frame for all that it has.
            List<Endpoint> endpoints = new ArrayList<>(localServer.endpoints());
            endpoints.addAll(departures);
            traffic.sendToInbound(node.id(), List.of(new Frame.Endpoints(endpoints)));
        }
    }

    private void peerFrameReceived(TrafficEvent.PeerTold received) {
        if (received.frame() instanceof Frame.Endpoints endpoints) {
            List<Endpoint> sentEndpoints = endpoints.endpoints().stream()
                    .filter(endpoint ->
                            endpoint.node().id().equals(received.node().id()))
                    .toList();
            localServer.departuresTold(endpoints.endpoints().stream()
                    .filter(endpoint -> endpoint.node().id().equals(self.id()))
                    .toList());
            List<Endpoint> outdated = peers.departedBefore(received.node().id(), sentEndpoints);
            if (!outdated.isEmpty()) {
                outdated.forEach(endpoint ->
                        EndpointLog.outdated(endpoint, received.node().id()));
                sendDepartures(received.node(), outdated);
            }
            if (peers.endpointsReceived(received.node(), sentEndpoints, received.connectionId())) {
                sentEndpoints.forEach(
                        endpoint -> EndpointLog.told(endpoint, received.node().id()));
                boolean onlyReady =
                        sentEndpoints.stream().allMatch(endpoint -> endpoint.state() == EndpointState.READY);
                if (onlyReady && !sentEndpoints.isEmpty()) {
                    publishSnapshotSoon();
                } else {
                    publishSnapshot();
                }
            }
        } else if (received.frame() instanceof Frame.RowSubscription request) {
            rowReplicator.subscriptionReceived(received.node().id(), request, nowNanos());
        } else if (received.frame() instanceof Frame.RowFreshness freshness) {
            updateFreshness(() -> rowReplicator.freshnessReceived(received.node(), freshness, nowNanos()));
        } else if (received.frame() instanceof Frame.RowDelta rowDelta) {
            rowReplicator
                    .restoreRow(rowDelta, received.node())
                    .ifPresent(row ->
                            applyRows(List.of(row), Optional.of(received.node().id())));
        } else if (received.frame() instanceof Frame.OperatorRow row) {
            applyRows(
                    List.of(new StoredRow(row.key(), row.revision(), row.content(), row.removed())),
                    Optional.of(received.node().id()));
        } else if (received.frame() instanceof Frame.CallOutcomes outcomes) {
            moveRegistry.setPeerOutcomes(
                    received.node().id(), outcomes.service(), CallOutcomeFrames.fromFrame(outcomes));
        } else if (received.frame() instanceof Frame.RequestCrashes crashes) {
            crashReports.received(crashes);
        } else {
            quotas.frameReceived(received.node(), received.frame(), nowNanos());
        }
    }

    /**
     * Applies changed settings.
     *
     * @param changed the new settings
     */
    public void reload(FleetSettings changed) {
        settings = changed;
        localServer.setHeartbeat(changed.heartbeat());
        revocationGuard.reload(changed.organisationBounds());
        publishSnapshot();
    }

    /** Runs periodic work: registration, expiry, moves and replication of rows. */
    public void tick() {
        long nowNanos = nowNanos();
        register(nowNanos);
        localServer.tick();
        moveRegistry
                .takeUnsent()
                .forEach((service, outcomes) -> traffic.sendToInbound(CallOutcomeFrames.toFrame(service, outcomes)));
        boolean changed = moveRegistry.advance(snapshots.get().endpoints(), nowNanos);
        if (changed
                || snapshotStale
                || peers.anyReconnectTimedOut(nowNanos, lastTickNanos)
                || haltMarksChanged(nowNanos)) {
            publishSnapshot();
        }
        lastTickNanos = nowNanos;
        fleetRowsUrgent = !registered || nowNanos - registeredNanos < JOINING_NANOS || moveRegistry.hasUnsettledMoves();
        movePublisher.publish(moveRegistry.moves());
        rowReplicator.tick(peers.connected(), peers.connectionsVersion(), nowNanos);
        removeUnreachable(nowNanos);
        quotas.tick(snapshots.get().rules().organisations(), settings.organisationBounds(), nowNanos);
        if (revocationGuard.requestsClock(snapshots.get())) {
            rowReplicator.readPlatformOnce();
        }
        readiness.setKeysProven(revocationGuard.update(snapshots.get()));
        readiness.update(peers, nowNanos);
    }

    private boolean haltMarksChanged(long nowNanos) {
        Snapshot snapshot = snapshots.get();
        return !snapshot.haltMarks().isEmpty()
                && !snapshot.haltMarks().equals(moveRegistry.haltMarks(snapshot.endpoints(), nowNanos));
    }

    private void register(long nowNanos) {
        if (registered || registering || readiness.withdrawn() || nowNanos - nextRegistrationNanos < 0) {
            return;
        }
        registering = true;
        nextRegistrationNanos = nowNanos + REGISTRATION_RETRY_NANOS;
        store.registerNode(self).whenComplete((done, failure) -> {
            registering = false;
            registered = failure == null;
            registeredNanos = nowNanos();
            if (registered) {
                LOG.info("node_registered", "node", self.id(), "address", self.address());
            }
        });
    }

    private void removeUnreachable(long nowNanos) {
        peers.findUnreachable(nowNanos)
                .filter(entry -> peers.rank("remove") == 0)
                .ifPresent(entry -> {
                    LOG.info("node_unreachable", "node", entry.getKey().id());
                    peers.recordRow(entry.getKey(), StorePosition.NONE);
                    store.removeNode(entry.getKey(), entry.getValue().version());
                });
    }

    /** Withdraws readiness before a planned stop; the endpoint keeps serving while callers move to other nodes. */
    public void withdrawReadiness() {
        readiness.withdraw();
    }

    /** Drains the local endpoint before a planned stop. */
    public void shutDown() {
        withdrawReadiness();
        localServer.shutDown();
        LOG.info("leaving", "node", self.id());
    }

    /** Publishes at once, or with the next tick if a snapshot was published just before. */
    private void publishSnapshotSoon() {
        if (nowNanos() - publishedNanos >= MIN_PUBLICATION_INTERVAL_NANOS) {
            publishSnapshot();
        } else {
            snapshotStale = true;
        }
    }

    private void publishSnapshot() {
        snapshotStale = false;
        if (config.isEmpty()) {
            return;
        }
        long nowNanos = nowNanos();
        publishedNanos = nowNanos;
        List<Endpoint> endpoints = new ArrayList<>(peers.endpoints(nowNanos));
        endpoints.addAll(localServer.endpoints());
        snapshots.replace(fleetSnapshots.assemble(endpoints, moveRegistry, 1 + peers.peerCount(), settings, nowNanos));
    }

    private long nowNanos() {
        return nanoTime.getAsLong();
    }
}

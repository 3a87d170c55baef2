package org.mimosahinge.daemon.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.core.fanout.RowSourcePolicy;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.log.EventLog;

/**
 * Takes the operators' rows from the platform or from other nodes and passes changes on.
 *
 * <p>A few nodes of each region read the platform. With what they pass on goes the platform's clock at their last
 * answer; a node on which that clock stands still reads the platform itself. Only the control thread may use it.
 */
final class RowReplicator {

    private static final EventLog LOG = EventLog.of("fleet");

    /** Above the longest interval between two answers to a reader, about 1 s; changes must be in force within 2 s. */
    private static final long STALE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_300);

    /** Lets a level read and pass on before the next one reads: a tick, and an answer of the platform. */
    private static final long LEVEL_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Deeper levels do not wait longer, as a change must be in force within 2 s. */
    private static final int MAX_DELAYED_LEVELS = 2;

    /** A parent whose knowledge is this much older than what is known here does not count as up to date. */
    private static final long MAX_PARENT_LAG_MS = 1_000;

    /** Least progress of the platform's clock that is passed on; two readers answer about each second. */
    private static final long MIN_PROGRESS_MS = 200;

    /** A request is repeated, which also repairs what was lost with a connection or a full queue. */
    private static final long SUBSCRIPTION_RENEWAL_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Two requests in a row may be lost. */
    private static final long SUBSCRIPTION_TTL_NANOS = 3 * SUBSCRIPTION_RENEWAL_NANOS;

    private final Node self;
    private final RowSourcePolicy sourcePolicy;
    private final RowTransport transport;
    private final RowCache cache = new RowCache();
    private final Map<NodeId, Child> children = new HashMap<>();
    private final Map<NodeId, Parent> parents = new HashMap<>();
    private RowSourcePolicy.Sources sources;
    private long connectionsVersion = -1;
    private boolean readingPlatform = true;
    private long parentsFreshNanos;
    private long newestOperatorRevision;
    private long readRevision;
    private long platformMs;
    private long platformMsUpdatedNanos;
    private long locallyReadPlatformMs;
    private long sentPlatformMs;
    private int nextParentIndex;

    /** A node that takes rows from this one. */
    private static final class Child {
        private final Map<String, Long> heldRevisions = new HashMap<>();
        private long expiryNanos;
    }

    /** A node from which this one takes rows. */
    private static final class Parent {
        private Node node;
        private long nextRequestNanos;
        private long expiryNanos = Long.MAX_VALUE;
        private long platformMs;

        Parent(Node node, long nextRequestNanos) {
            this.node = node;
            this.nextRequestNanos = nextRequestNanos;
        }
    }

    RowReplicator(Node self, RowSourcePolicy sourcePolicy, RowTransport transport, long nowNanos) {
        this.self = self;
        this.sourcePolicy = sourcePolicy;
        this.transport = transport;
        sources = sourcePolicy.sources(self, List.of());
        parentsFreshNanos = nowNanos;
        platformMsUpdatedNanos = nowNanos;
    }

    long newestRevision() {
        return cache.newestRevision();
    }

    /** Takes a row that could be decoded; false when the same or a newer one is known. */
    boolean accept(StoredRow row, boolean operatorRow, Optional<NodeId> from, long nowNanos) {
        if (!cache.add(row)) {
            return false;
        }
        if (operatorRow) {
            newestOperatorRevision = Math.max(newestOperatorRevision, row.revision());
        }
        from.map(children::get).ifPresent(child -> child.heldRevisions.merge(row.key(), row.revision(), Math::max));
        activeChildren(nowNanos).forEach((id, child) -> sendRow(row, id, child));
        return true;
    }

    private void sendRow(StoredRow row, NodeId id, Child child) {
        long baseRevision = child.heldRevisions.getOrDefault(row.key(), 0L);
        if (baseRevision >= row.revision()) {
            return;
        }
        child.heldRevisions.put(row.key(), row.revision());
        Optional<Frame> deltaFrame = cache.deltaFrom(row, baseRevision)
                .map(contentDelta -> new Frame.RowDelta(row.key(), baseRevision, row.revision(), contentDelta));
        LOG.info(
                "row_passed_on",
                "node",
                id,
                "row",
                row.key(),
                "revision",
                row.revision(),
                "base",
                deltaFrame.isPresent() ? baseRevision : 0);
        transport.send(id, deltaFrame.orElseGet(() -> new Frame.OperatorRow(row.key(), row.revision(), row.content())));
    }

    /** Restores a row from its change; asks for the row again when the base is missing. */
    Optional<StoredRow> restoreRow(Frame.RowDelta rowDelta, Node parent) {
        if (cache.newestRevisions().getOrDefault(rowDelta.key(), 0L) >= rowDelta.revision()) {
            return Optional.empty();
        }
        Optional<byte[]> content =
                cache.content(rowDelta.key(), rowDelta.baseRevision()).flatMap(rowDelta.delta()::applyTo);
        if (content.isEmpty()) {
            LOG.info(
                    "row_base_missing",
                    "node",
                    parent.id(),
                    "row",
                    rowDelta.key(),
                    "base",
                    rowDelta.baseRevision(),
                    "revision",
                    rowDelta.revision());
            transport.request(parent, new Frame.RowSubscription(cache.newestRevisions()));
        }
        return content.map(bytes -> new StoredRow(rowDelta.key(), rowDelta.revision(), bytes, false));
    }

    /** A node asks for rows now and as they change. */
    void subscriptionReceived(NodeId id, Frame.RowSubscription subscription, long nowNanos) {
        Child child = children.computeIfAbsent(id, key -> new Child());
        child.expiryNanos = nowNanos + SUBSCRIPTION_TTL_NANOS;
        child.heldRevisions.clear();
        child.heldRevisions.putAll(subscription.heldRevisions());
        cache.newestRows().forEach(row -> sendRow(row, id, child));
        if (platformMs > 0) {
            transport.send(id, freshness());
        }
    }

    /** A parent tells up to which moment of the platform's clock it has passed on all rows. */
    void freshnessReceived(Node node, Frame.RowFreshness frame, long nowNanos) {
        Parent parent = parents.get(node.id());
        if (parent == null || frame.platformMs() <= parent.platformMs) {
            return;
        }
        if (frame.revision() > newestOperatorRevision) {
            // A row was lost on the way, or could not be read here; either way this node is not up to date.
            transport.request(node, new Frame.RowSubscription(cache.newestRevisions()));
            return;
        }
        parent.platformMs = frame.platformMs();
        // What this node has read itself comes back from nodes that have taken it from here; that proves nothing.
        if (frame.platformMs() >= platformMs - MAX_PARENT_LAG_MS && frame.platformMs() > locallyReadPlatformMs) {
            parentsFreshNanos = nowNanos;
        }
        updateFreshness(frame.readRevision(), frame.platformMs(), nowNanos);
    }

    /** This node has read the platform up to a revision, when its clock stood at this moment. */
    void platformRead(long revision, long readPlatformMs, long nowNanos) {
        locallyReadPlatformMs = Math.max(locallyReadPlatformMs, readPlatformMs);
        updateFreshness(revision, readPlatformMs, nowNanos);
    }

    private void updateFreshness(long revision, long newPlatformMs, long nowNanos) {
        readRevision = Math.max(readRevision, revision);
        if (newPlatformMs > platformMs) {
            platformMs = newPlatformMs;
            platformMsUpdatedNanos = nowNanos;
        }
        if (platformMs - sentPlatformMs >= MIN_PROGRESS_MS) {
            sentPlatformMs = platformMs;
            activeChildren(nowNanos).forEach((id, child) -> transport.send(id, freshness()));
        }
    }

    private Frame.RowFreshness freshness() {
        return new Frame.RowFreshness(newestOperatorRevision, readRevision, platformMs);
    }

    private Map<NodeId, Child> activeChildren(long nowNanos) {
        children.values().removeIf(child -> nowNanos - child.expiryNanos > 0);
        return children;
    }

    /** A connection to a node is new: what was asked on an earlier one is forgotten there. */
    void connectionOpened(NodeId id, long nowNanos) {
        Parent parent = parents.get(id);
        if (parent != null) {
            parent.nextRequestNanos = nowNanos;
        }
    }

    /**
     * Takes rows from one more node for a while, another one at each tick.
     *
     * <p>The platform may serve a node that nobody takes rows from. Once one node has them, they spread, as each of
     * those that ask it passes them on to the nodes that have asked there.
     */
    private void requestFromNextParent(Collection<Node> connected, long nowNanos) {
        List<Node> others = connected.stream()
                .filter(node -> !parents.containsKey(node.id()))
                .toList();
        if (!others.isEmpty()) {
            // Nodes begin at different places, so that not all ask the same one.
            Node next = others.get(Math.floorMod(self.id().hashCode() + nextParentIndex++, others.size()));
            Parent parent = new Parent(next, nowNanos);
            parent.expiryNanos = nowNanos + SUBSCRIPTION_RENEWAL_NANOS;
            parents.put(next.id(), parent);
        }
    }

    /**
     * Asks the parents, and starts or stops reading the platform.
     *
     * @param connected nodes to which this one is connected
     * @param newConnectionsVersion changes whenever they do
     * @param nowNanos monotonic clock
     */
    void tick(Collection<Node> connected, long newConnectionsVersion, long nowNanos) {
        if (newConnectionsVersion != connectionsVersion) {
            connectionsVersion = newConnectionsVersion;
            sources = sourcePolicy.sources(self, connected);
            parents.keySet().retainAll(sources.parents());
            connected.stream()
                    .filter(node -> sources.parents().contains(node.id()))
                    .forEach(node -> {
                        Parent parent = parents.computeIfAbsent(node.id(), id -> new Parent(node, nowNanos));
                        parent.node = node;
                        parent.expiryNanos = Long.MAX_VALUE;
                    });
        }
        long staleTimeoutNanos =
                STALE_TIMEOUT_NANOS + Math.min(sources.level(), MAX_DELAYED_LEVELS) * LEVEL_DELAY_NANOS;
        if (nowNanos - platformMsUpdatedNanos > staleTimeoutNanos) {
            requestFromNextParent(connected, nowNanos);
        }
        parents.values().removeIf(parent -> nowNanos - parent.expiryNanos > 0);
        for (Parent parent : parents.values()) {
            if (nowNanos - parent.nextRequestNanos >= 0) {
                parent.nextRequestNanos = nowNanos + SUBSCRIPTION_RENEWAL_NANOS;
                transport.request(parent.node, new Frame.RowSubscription(cache.newestRevisions()));
            }
        }
        boolean stale = nowNanos - parentsFreshNanos > staleTimeoutNanos;
        boolean shouldRead = sources.readsPlatform() || stale;
        if (shouldRead != readingPlatform) {
            readingPlatform = shouldRead;
            LOG.info(
                    "reading_platform",
                    "reading",
                    shouldRead,
                    "level",
                    sources.level(),
                    "parents",
                    sources.parents(),
                    "parents_silent_ms",
                    TimeUnit.NANOSECONDS.toMillis(nowNanos - parentsFreshNanos));
            transport.followPlatform(shouldRead, readRevision);
        }
    }
}

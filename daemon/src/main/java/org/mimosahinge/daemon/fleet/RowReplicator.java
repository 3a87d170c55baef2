package org.mimosahinge.daemon.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.config.ContentDelta;
import org.mimosahinge.api.platform.StorePosition;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.core.fanout.RowSourcePolicy;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.log.EventLog;

/**
 * Replicates the operators' rows from the platform or from other nodes and forwards changes.
 *
 * <p>A few nodes of each region read the platform. They forward the platform's clock at their last response together
 * with the rows; a node that sees no progress of this clock reads the platform itself. Only the control thread may use
 * it.
 */
final class RowReplicator {

    private static final EventLog LOG = EventLog.of("fleet");

    /**
     * Time without progress after which rows are stale: longer than the interval between two responses to a reader,
     * about 1 s, and short enough for a change to be in force within 2 s.
     */
    private static final long STALE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_300);

    /**
     * Additional time per tree level, so that one level can read and forward before the next one reads: one tick and
     * one response of the platform.
     */
    private static final long LEVEL_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Limits the additional time of deeper levels, as a change must be in force within 2 s. */
    private static final int MAX_DELAYED_LEVELS = 2;

    /** A parent that lags this far behind the newest known platform time does not count as up to date. */
    private static final long MAX_PARENT_LAG_MS = 1_000;

    /** Minimum progress of the platform's clock that is forwarded; two readers get a response about once a second. */
    private static final long MIN_PROGRESS_MS = 200;

    /** Subscriptions are renewed, which also recovers frames lost with a connection or in a full queue. */
    private static final long SUBSCRIPTION_RENEWAL_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** A subscription survives two lost renewals in a row. */
    private static final long SUBSCRIPTION_TTL_NANOS = 3 * SUBSCRIPTION_RENEWAL_NANOS;

    private final Node self;
    private final RowSourcePolicy sourcePolicy;
    private final RowTransport transport;
    private final RowCache cache = new RowCache();
    private final Map<NodeId, Child> children = new HashMap<>();
    private final Map<NodeId, Parent> parents = new HashMap<>();
    private RowSourcePolicy.Sources sources;
    private TableRead tableRead = new TableRead("", StorePosition.NONE);
    private long connectionsVersion = -1;
    private boolean readingPlatform = true;
    /** When a parent last showed that it gets rows from the platform. */
    private long parentsFreshNanos;

    private StorePosition newestOperatorRevision = StorePosition.NONE;
    private StorePosition readRevision = StorePosition.NONE;
    /** The newest known time of the platform's clock up to which all rows have arrived here. */
    private long platformMs;

    private long platformMsUpdatedNanos;
    private long locallyReadPlatformMs;
    private long sentPlatformMs;
    private int nextParentIndex;

    /** The last read of all rows of the operators' table. */
    private record TableRead(String prefix, StorePosition revision) {

        private static String prefix(String key) {
            return key.substring(0, key.indexOf('/') + 1);
        }

        /** Returns whether a row that is unknown here was removed before the read. */
        boolean removed(String key, StorePosition heldRevision) {
            return precedes(heldRevision, revision) && key.startsWith(prefix);
        }
    }

    /**
     * Returns whether a read of the whole table shows that a row was removed that it lacks. A store that has come back
     * from a copy lacks rows that were not removed, and gets them again.
     */
    private static boolean precedes(StorePosition row, StorePosition read) {
        return row.era() == read.era() && read.isAfter(row);
    }

    /** A node that has subscribed to rows of this node. */
    private static final class Child {
        private final Map<String, StorePosition> heldRevisions = new HashMap<>();
        private long expiryNanos;
    }

    /** A node to whose rows this node subscribes. */
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

    StorePosition newestRevision() {
        return cache.newestRevision();
    }

    /**
     * Adds a decoded row and forwards it to the children; returns false if the same revision or a newer one is known.
     */
    boolean accept(StoredRow row, boolean operatorRow, Optional<NodeId> from, long nowNanos) {
        if (operatorRow && cache.isReplacedCopy(row)) {
            // The operator writes the later row again.
            LOG.info("row_copy_ignored", "row", row.key(), "revision", row.revision());
            return false;
        }
        if (!cache.add(row)) {
            return false;
        }
        if (operatorRow) {
            newestOperatorRevision = StorePosition.latest(newestOperatorRevision, row.revision());
        }
        from.map(children::get)
                .ifPresent(child -> child.heldRevisions.merge(row.key(), row.revision(), StorePosition::latest));
        activeChildren(nowNanos).forEach((id, child) -> sendRow(row, id, child));
        return true;
    }

    /**
     * Returns the removal of each row that a read of the whole table lacks. A row may have been removed while no node
     * followed the changes, or the platform may have dropped the history that showed the removal.
     *
     * @param rows all rows of the table
     * @param revision revision of the platform at the read
     * @return removed rows with the revision of the read; rows of other tables are among them
     */
    List<StoredRow> missingFrom(Collection<StoredRow> rows, StorePosition revision) {
        rows.stream().findAny().ifPresent(row -> tableRead = new TableRead(TableRead.prefix(row.key()), revision));
        Set<String> present = new HashSet<>();
        rows.forEach(row -> present.add(row.key()));
        return cache.newestRows().stream()
                .filter(row -> !row.removed() && precedes(row.revision(), revision) && !present.contains(row.key()))
                .map(row -> new StoredRow(row.key(), revision, new byte[0], true))
                .toList();
    }

    /**
     * Tells a node that rows which it has were removed before this node first read the table, which shows only that
     * they are missing.
     */
    private void sendMissing(NodeId id, Child child) {
        Map<String, StorePosition> held = cache.newestRevisions();
        for (Map.Entry<String, StorePosition> row :
                Map.copyOf(child.heldRevisions).entrySet()) {
            if (!held.containsKey(row.getKey()) && tableRead.removed(row.getKey(), row.getValue())) {
                sendRow(new StoredRow(row.getKey(), tableRead.revision, new byte[0], true), id, child);
            }
        }
    }

    private void sendRow(StoredRow row, NodeId id, Child child) {
        StorePosition baseRevision = child.heldRevisions.getOrDefault(row.key(), StorePosition.NONE);
        if (!row.revision().isAfter(baseRevision)) {
            return;
        }
        child.heldRevisions.put(row.key(), row.revision());
        Optional<Frame> deltaFrame = (row.removed()
                        ? Optional.<ContentDelta>empty()
                        : cache.deltaFrom(row, baseRevision))
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
                deltaFrame.isPresent() ? baseRevision : StorePosition.NONE,
                "removed",
                row.removed());
        transport.send(
                id,
                deltaFrame.orElseGet(
                        () -> new Frame.OperatorRow(row.key(), row.revision(), row.content(), row.removed())));
    }

    /** Rebuilds a row from a delta; requests the whole row if the base revision is missing. */
    Optional<StoredRow> restoreRow(Frame.RowDelta rowDelta, Node parent) {
        if (!rowDelta.revision().isAfter(cache.newestRevisions().getOrDefault(rowDelta.key(), StorePosition.NONE))) {
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

    /** Handles a subscription: sends the rows that the node lacks, and later changes until the subscription expires. */
    void subscriptionReceived(NodeId id, Frame.RowSubscription subscription, long nowNanos) {
        Child child = children.computeIfAbsent(id, key -> new Child());
        child.expiryNanos = nowNanos + SUBSCRIPTION_TTL_NANOS;
        child.heldRevisions.clear();
        child.heldRevisions.putAll(subscription.heldRevisions());
        cache.newestRows().forEach(row -> sendRow(row, id, child));
        sendMissing(id, child);
        if (platformMs > 0) {
            transport.send(id, freshness());
        }
    }

    /** Handles a parent's statement that it has forwarded all rows up to a time of the platform's clock. */
    void freshnessReceived(Node node, Frame.RowFreshness frame, long nowNanos) {
        Parent parent = parents.get(node.id());
        if (parent == null || frame.platformMs() <= parent.platformMs) {
            return;
        }
        if (frame.revision().isAfter(newestOperatorRevision)) {
            // A row was lost on the way or could not be decoded here, so this node is not up to date.
            transport.request(node, new Frame.RowSubscription(cache.newestRevisions()));
            return;
        }
        parent.platformMs = frame.platformMs();
        // This node's own reads come back from nodes that got them from here; that does not show that the parents are
        // fresh.
        if (frame.platformMs() >= platformMs - MAX_PARENT_LAG_MS && frame.platformMs() > locallyReadPlatformMs) {
            parentsFreshNanos = nowNanos;
        }
        updateFreshness(frame.readRevision(), frame.platformMs(), nowNanos);
    }

    /** Records that this node has read the platform up to a revision, and the platform's clock at that response. */
    void platformRead(StorePosition revision, long readPlatformMs, long nowNanos) {
        locallyReadPlatformMs = Math.max(locallyReadPlatformMs, readPlatformMs);
        updateFreshness(revision, readPlatformMs, nowNanos);
    }

    /** Returns the newest known time of the platform's clock up to which all rows have arrived here, 0 before any. */
    long platformMs() {
        return platformMs;
    }

    /** Asks the platform for one response, also on a node that does not read it otherwise. */
    void readPlatformOnce() {
        transport.followPlatform(true, readRevision);
        transport.followPlatform(readingPlatform, readRevision);
    }

    private void updateFreshness(StorePosition revision, long newPlatformMs, long nowNanos) {
        readRevision = StorePosition.latest(readRevision, revision);
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

    /**
     * Renews the subscription at once when a connection to a parent is new, as that of an earlier connection is lost
     * there.
     */
    void connectionOpened(NodeId id, long nowNanos) {
        Parent parent = parents.get(id);
        if (parent != null) {
            parent.nextRequestNanos = nowNanos;
        }
    }

    /**
     * Subscribes to one more node for a limited time, and to another one at each tick.
     *
     * <p>The platform may serve only a node to which no other one subscribes. Once one node has subscribed to it, rows
     * spread, as each node that subscribes forwards them to its own subscribers.
     */
    private void requestFromNextParent(Collection<Node> connected, long nowNanos) {
        List<Node> others = connected.stream()
                .filter(node -> !parents.containsKey(node.id()))
                .toList();
        if (!others.isEmpty()) {
            // Nodes start at different indexes, so that they do not all choose the same one.
            Node next = others.get(Math.floorMod(self.id().hashCode() + nextParentIndex++, others.size()));
            Parent parent = new Parent(next, nowNanos);
            parent.expiryNanos = nowNanos + SUBSCRIPTION_RENEWAL_NANOS;
            parents.put(next.id(), parent);
        }
    }

    /**
     * Renews subscriptions, and starts or stops reading the platform.
     *
     * @param connected nodes to which this one is connected
     * @param newConnectionsVersion changes whenever the connected nodes change
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

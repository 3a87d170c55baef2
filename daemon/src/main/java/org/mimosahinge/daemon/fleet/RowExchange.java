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
final class RowExchange {

    private static final EventLog LOG = EventLog.of("fleet");

    /** Above the longest interval between two answers to a reader, about 1 s; changes must be in force within 2 s. */
    private static final long STALE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_300);

    /** Lets a level read and pass on before the next one reads: a tick, and an answer of the platform. */
    private static final long LEVEL_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Deeper levels do not wait longer, as a change must be in force within 2 s. */
    private static final int MAX_LEVEL_STEPS = 2;

    /** A parent whose knowledge is this much older than what is known here does not count as up to date. */
    private static final long MAX_LAG_MS = 1_000;

    /** Least progress of the platform's clock that is passed on; two readers answer about each second. */
    private static final long PROGRESS_MS = 200;

    /** A request is repeated, which also repairs what was lost with a connection or a full queue. */
    private static final long RENEW_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Two requests in a row may be lost. */
    private static final long LEASE_NANOS = 3 * RENEW_NANOS;

    private final Node self;
    private final RowSourcePolicy rule;
    private final RowLinks links;
    private final RowBook book = new RowBook();
    private final Map<NodeId, Child> children = new HashMap<>();
    private final Map<NodeId, Parent> parents = new HashMap<>();
    private RowSourcePolicy.Sources sources;
    private long membership = -1;
    private boolean reading = true;
    private long parentsCurrentNanos;
    private long operatorsNewest;
    private long readRevision;
    private long currentMs;
    private long currentNanos;
    private long ownReadMs;
    private long passedOnMs;
    private int nextAsked;

    /** A node that takes rows from this one. */
    private static final class Child {
        private final Map<String, Long> held = new HashMap<>();
        private long untilNanos;
    }

    /** A node from which this one takes rows. */
    private static final class Parent {
        private Node node;
        private long askAtNanos;
        private long untilNanos = Long.MAX_VALUE;
        private long currentMs;

        Parent(Node node, long askAtNanos) {
            this.node = node;
            this.askAtNanos = askAtNanos;
        }
    }

    RowExchange(Node self, RowSourcePolicy rule, RowLinks links, long nowNanos) {
        this.self = self;
        this.rule = rule;
        this.links = links;
        sources = rule.sources(self, List.of());
        parentsCurrentNanos = nowNanos;
        currentNanos = nowNanos;
    }

    long newest() {
        return book.newest();
    }

    /** Takes a row that could be decoded; false when the same or a newer one is known. */
    boolean accept(StoredRow row, boolean ofOperators, Optional<NodeId> from, long nowNanos) {
        if (!book.accept(row)) {
            return false;
        }
        if (ofOperators) {
            operatorsNewest = Math.max(operatorsNewest, row.revision());
        }
        from.map(children::get).ifPresent(child -> child.held.merge(row.key(), row.revision(), Math::max));
        liveChildren(nowNanos).forEach((id, child) -> pass(row, id, child));
        return true;
    }

    private void pass(StoredRow row, NodeId id, Child child) {
        long base = child.held.getOrDefault(row.key(), 0L);
        if (base >= row.revision()) {
            return;
        }
        child.held.put(row.key(), row.revision());
        Optional<Frame> change =
                book.change(row, base).map(delta -> new Frame.RowDelta(row.key(), base, row.revision(), delta));
        LOG.info(
                "row_passed_on",
                "node",
                id,
                "row",
                row.key(),
                "revision",
                row.revision(),
                "base",
                change.isPresent() ? base : 0);
        links.tell(id, change.orElseGet(() -> new Frame.OperatorRow(row.key(), row.revision(), row.content())));
    }

    /** Restores a row from its change; asks for the row again when the base is missing. */
    Optional<StoredRow> restore(Frame.RowDelta change, Node parent) {
        if (book.revisions().getOrDefault(change.key(), 0L) >= change.revision()) {
            return Optional.empty();
        }
        Optional<byte[]> content =
                book.content(change.key(), change.baseRevision()).flatMap(change.delta()::applyTo);
        if (content.isEmpty()) {
            LOG.info(
                    "row_base_missing",
                    "node",
                    parent.id(),
                    "row",
                    change.key(),
                    "base",
                    change.baseRevision(),
                    "revision",
                    change.revision());
            links.ask(parent, new Frame.RowSubscription(book.revisions()));
        }
        return content.map(bytes -> new StoredRow(change.key(), change.revision(), bytes, false));
    }

    /** A node asks for rows now and as they change. */
    void requested(NodeId id, Frame.RowSubscription request, long nowNanos) {
        Child child = children.computeIfAbsent(id, key -> new Child());
        child.untilNanos = nowNanos + LEASE_NANOS;
        child.held.clear();
        child.held.putAll(request.heldRevisions());
        book.newestRows().forEach(row -> pass(row, id, child));
        if (currentMs > 0) {
            links.tell(id, current());
        }
    }

    /** A parent tells up to which moment of the platform's clock it has passed on all rows. */
    void current(Node node, Frame.RowFreshness told, long nowNanos) {
        Parent parent = parents.get(node.id());
        if (parent == null || told.platformMs() <= parent.currentMs) {
            return;
        }
        if (told.revision() > operatorsNewest) {
            // A row was lost on the way, or could not be read here; either way this node is not up to date.
            links.ask(node, new Frame.RowSubscription(book.revisions()));
            return;
        }
        parent.currentMs = told.platformMs();
        // What this node has read itself comes back from nodes that have taken it from here; that proves nothing.
        if (told.platformMs() >= currentMs - MAX_LAG_MS && told.platformMs() > ownReadMs) {
            parentsCurrentNanos = nowNanos;
        }
        advance(told.readRevision(), told.platformMs(), nowNanos);
    }

    /** This node has read the platform up to a revision, when its clock stood at this moment. */
    void read(long revision, long platformMs, long nowNanos) {
        ownReadMs = Math.max(ownReadMs, platformMs);
        advance(revision, platformMs, nowNanos);
    }

    private void advance(long revision, long platformMs, long nowNanos) {
        readRevision = Math.max(readRevision, revision);
        if (platformMs > currentMs) {
            currentMs = platformMs;
            currentNanos = nowNanos;
        }
        if (currentMs - passedOnMs >= PROGRESS_MS) {
            passedOnMs = currentMs;
            liveChildren(nowNanos).forEach((id, child) -> links.tell(id, current()));
        }
    }

    private Frame.RowFreshness current() {
        return new Frame.RowFreshness(operatorsNewest, readRevision, currentMs);
    }

    private Map<NodeId, Child> liveChildren(long nowNanos) {
        children.values().removeIf(child -> nowNanos - child.untilNanos > 0);
        return children;
    }

    /** A connection to a node is new: what was asked on an earlier one is forgotten there. */
    void connected(NodeId id, long nowNanos) {
        Parent parent = parents.get(id);
        if (parent != null) {
            parent.askAtNanos = nowNanos;
        }
    }

    /**
     * Takes rows from one more node for a while, another one at each tick.
     *
     * <p>The platform may serve a node that nobody takes rows from. Once one node has them, they spread, as each of
     * those that ask it passes them on to the nodes that have asked there.
     */
    private void askAnother(Collection<Node> connected, long nowNanos) {
        List<Node> others = connected.stream()
                .filter(node -> !parents.containsKey(node.id()))
                .toList();
        if (!others.isEmpty()) {
            // Nodes begin at different places, so that not all ask the same one.
            Node next = others.get(Math.floorMod(self.id().hashCode() + nextAsked++, others.size()));
            Parent parent = new Parent(next, nowNanos);
            parent.untilNanos = nowNanos + RENEW_NANOS;
            parents.put(next.id(), parent);
        }
    }

    /**
     * Asks the parents, and starts or stops reading the platform.
     *
     * @param connected nodes to which this one is connected
     * @param version changes whenever they do
     * @param nowNanos monotonic clock
     */
    void tick(Collection<Node> connected, long version, long nowNanos) {
        if (version != membership) {
            membership = version;
            sources = rule.sources(self, connected);
            parents.keySet().retainAll(sources.parents());
            connected.stream()
                    .filter(node -> sources.parents().contains(node.id()))
                    .forEach(node -> {
                        Parent parent = parents.computeIfAbsent(node.id(), id -> new Parent(node, nowNanos));
                        parent.node = node;
                        parent.untilNanos = Long.MAX_VALUE;
                    });
        }
        long patienceNanos = STALE_NANOS + Math.min(sources.level(), MAX_LEVEL_STEPS) * LEVEL_STEP_NANOS;
        if (nowNanos - currentNanos > patienceNanos) {
            askAnother(connected, nowNanos);
        }
        parents.values().removeIf(parent -> nowNanos - parent.untilNanos > 0);
        for (Parent parent : parents.values()) {
            if (nowNanos - parent.askAtNanos >= 0) {
                parent.askAtNanos = nowNanos + RENEW_NANOS;
                links.ask(parent.node, new Frame.RowSubscription(book.revisions()));
            }
        }
        boolean stale = nowNanos - parentsCurrentNanos > patienceNanos;
        boolean wanted = sources.readsPlatform() || stale;
        if (wanted != reading) {
            reading = wanted;
            LOG.info(
                    "reading_platform",
                    "reading",
                    wanted,
                    "level",
                    sources.level(),
                    "parents",
                    sources.parents(),
                    "parents_silent_ms",
                    TimeUnit.NANOSECONDS.toMillis(nowNanos - parentsCurrentNanos));
            links.read(wanted, readRevision);
        }
    }
}

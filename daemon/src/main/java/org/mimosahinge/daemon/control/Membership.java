package org.mimosahinge.daemon.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.mimosahinge.api.config.HaltMark;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Proximity;
import org.mimosahinge.core.config.EndpointMerger;
import org.mimosahinge.core.config.NodeRemoval;
import org.mimosahinge.core.config.SnapshotBuilder;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.log.EventLog;

/** Distributes endpoint states and halt marks over the tree and removes the endpoints of failed nodes. */
final class Membership {

    private static final EventLog LOG = EventLog.of("membership");

    /** Children of a failed parent reconnect to another one within this time; a node that does not has failed. */
    private static final Duration REATTACH_TIMEOUT = Duration.ofSeconds(3);

    /** Nodes in the zone of a failed relay first wait for its lease to expire, so they get more time. */
    private static final Duration RELAY_REATTACH_TIMEOUT = Duration.ofSeconds(10);

    /** Longer than any update can be delayed, so that an older state cannot bring an endpoint back. */
    private static final Duration TOMBSTONE_RETENTION = Duration.ofMinutes(10);

    private final Node self;
    private final SnapshotReference snapshots;
    private final LocalEndpoints localEndpoints;
    private final ControlLinks links;
    private final LongSupplier nanoTime;
    /** The link over which the latest state of each other node was received. */
    private final Map<NodeId, ControlLink> lastLinkByNode = new HashMap<>();
    /** Halt marks that apply to this node's own calls only and are not sent to other nodes. */
    private final Set<HaltMark> localHalts = new HashSet<>();
    /** When each endpoint in state GONE was first seen in it. */
    private final Map<String, Long> goneAtNanos = new HashMap<>();
    /** The time after which each unreachable node counts as failed. */
    private final Map<Node, Long> suspectDeadlineNanos = new HashMap<>();

    Membership(
            Node self,
            SnapshotReference snapshots,
            LocalEndpoints localEndpoints,
            ControlLinks links,
            LongSupplier nanoTime) {
        this.self = self;
        this.snapshots = snapshots;
        this.localEndpoints = localEndpoints;
        this.links = links;
        this.nanoTime = nanoTime;
    }

    /** Sends all known endpoint states and halt marks to a new neighbour. */
    void sendState(ControlLink link) {
        Snapshot snapshot = snapshots.get();
        List<Endpoint> endpoints =
                snapshot.endpoints().values().stream().flatMap(List::stream).toList();
        if (!endpoints.isEmpty()) {
            link.send(new Frame.Endpoints(endpoints));
        }
        Set<HaltMark> haltMarks = new HashSet<>(snapshot.haltMarks());
        haltMarks.removeAll(localHalts);
        if (!haltMarks.isEmpty()) {
            link.send(new Frame.HaltMarks(haltMarks));
        }
        recordReachable(link.node(), link);
    }

    /** Publishes states of this node's own endpoints. */
    void publish(List<Endpoint> endpoints) {
        merge(endpoints, null);
    }

    /** Merges endpoint states received from a neighbour and forwards the changes. */
    void received(Frame.Endpoints frame, ControlLink from) {
        List<Endpoint> refuted = new ArrayList<>();
        for (Endpoint endpoint : frame.endpoints()) {
            if (endpoint.node().id().equals(self.id())) {
                localEndpoints.refute(endpoint).ifPresent(refuted::add);
            } else {
                recordReachable(endpoint.node(), from);
            }
        }
        merge(frame.endpoints(), from);
        if (!refuted.isEmpty()) {
            merge(refuted, null);
        }
    }

    /** Stops this node's own calls to a version without informing other nodes. */
    void haltLocally(HaltMark mark) {
        Snapshot before = snapshots.get();
        Snapshot after = SnapshotBuilder.withHaltMark(before, mark);
        if (after != before) {
            localHalts.add(mark);
            snapshots.replace(after);
        }
    }

    /** Stops new calls to a version on this node and all nodes that it is connected to through the tree. */
    void halt(HaltMark mark) {
        received(new Frame.HaltMarks(Set.of(mark)), null);
    }

    /** Merges halt marks received from a neighbour and forwards the new ones. */
    void received(Frame.HaltMarks frame, ControlLink from) {
        Set<HaltMark> added = new HashSet<>();
        for (HaltMark mark : frame.marks()) {
            Snapshot before = snapshots.get();
            Snapshot after = SnapshotBuilder.withHaltMark(before, mark);
            if (after != before || localHalts.remove(mark)) {
                snapshots.replace(after);
                added.add(mark);
                LOG.info("version_halted", "service", mark.service(), "version", mark.version());
            }
        }
        if (!added.isEmpty()) {
            links.broadcast(new Frame.HaltMarks(added), from);
        }
    }

    /** Starts the failure timeout of the nodes that were reached through a closed child link. */
    void linkClosed(ControlLink link) {
        if (link.direction() == ControlLink.Direction.PARENT) {
            return;
        }
        boolean sameZone = Proximity.between(self.zone(), link.node().zone()) == Proximity.SAME_ZONE;
        long deadlineNanos = nanoTime.getAsLong() + (sameZone ? REATTACH_TIMEOUT : RELAY_REATTACH_TIMEOUT).toNanos();
        suspectDeadlineNanos.put(link.node(), deadlineNanos);
        snapshots.get().endpoints().values().stream()
                .flatMap(List::stream)
                .map(Endpoint::node)
                .filter(node -> lastLinkByNode.get(node.id()) == link)
                .forEach(node -> suspectDeadlineNanos.put(node, deadlineNanos));
        lastLinkByNode.values().removeIf(knownLink -> knownLink == link);
    }

    /** Removes the endpoints of nodes that did not reconnect in time, and returns these nodes. */
    List<Node> removeFailed() {
        long nowNanos = nanoTime.getAsLong();
        List<Node> failed = suspectDeadlineNanos.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() >= 0)
                .map(Map.Entry::getKey)
                .toList();
        for (Node node : failed) {
            suspectDeadlineNanos.remove(node);
            LOG.warn("node_failed", "node", node.id(), "zone", node.zone().name(), "incarnation", node.incarnation());
            remove(node);
        }
        return failed;
    }

    /** Removes expired tombstones; those of replaced VMs would otherwise fill the memory. */
    void removeExpiredTombstones() {
        long nowNanos = nanoTime.getAsLong();
        Set<String> expired = goneAtNanos.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() >= TOMBSTONE_RETENTION.toNanos())
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
        if (!expired.isEmpty()) {
            goneAtNanos.keySet().removeAll(expired);
            snapshots.replace(SnapshotBuilder.withoutTombstones(snapshots.get(), expired));
        }
    }

    private void trackGone(Endpoint endpoint) {
        if (endpoint.state() == EndpointState.GONE) {
            goneAtNanos.putIfAbsent(endpoint.id(), nanoTime.getAsLong());
        } else {
            goneAtNanos.remove(endpoint.id());
        }
    }

    private void remove(Node node) {
        merge(
                EndpointMerger.tombstones(snapshots.get().endpoints(), new NodeRemoval(node.id(), node.incarnation())),
                null);
    }

    /** Merges all states in one step: one at a time, 4,800 states would block the control thread for seconds. */
    private void merge(List<Endpoint> endpoints, ControlLink from) {
        Snapshot before = snapshots.get();
        Snapshot after = SnapshotBuilder.withEndpoints(before, endpoints);
        if (after == before) {
            return;
        }
        snapshots.replace(after);
        List<Endpoint> changed = endpoints.stream()
                .filter(endpoint -> contains(after, endpoint) && !contains(before, endpoint))
                .toList();
        changed.forEach(this::trackGone);
        changed.forEach(Membership::logState);
        links.broadcast(new Frame.Endpoints(changed), from);
    }

    private static boolean contains(Snapshot snapshot, Endpoint endpoint) {
        return snapshot.endpoints()
                .getOrDefault(endpoint.server().service(), List.of())
                .contains(endpoint);
    }

    private static void logState(Endpoint endpoint) {
        LOG.info(
                "endpoint_state",
                "endpoint",
                endpoint.id(),
                "service",
                endpoint.server().service(),
                "version",
                endpoint.server().version(),
                "state",
                endpoint.state());
    }

    private void recordReachable(Node node, ControlLink link) {
        if (link != null) {
            lastLinkByNode.put(node.id(), link);
            suspectDeadlineNanos.keySet().removeIf(suspect -> suspect.id().equals(node.id()));
        }
    }
}

package org.mimosahinge.daemon.control;

import java.util.Collection;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.operator.NodeList;
import org.mimosahinge.api.platform.ReadRequest;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.net.frame.Frame;

/** Counts the nodes of the fleet by the version that they have in force. */
final class Fleet {

    private final Links links;
    private final Supplier<Snapshot> snapshots;
    private Frame.VersionReport sentUp;
    private Frame.VersionReport sentDown;
    private Frame.VersionReport totals;

    Fleet(Links links, Supplier<Snapshot> snapshots) {
        this.links = links;
        this.snapshots = snapshots;
    }

    /** Sends the report of the subtree up and the totals of the fleet down when they have changed. */
    void report() {
        Frame.VersionReport subtree = subtree();
        if (links.parent().isEmpty()) {
            totals = subtree;
        } else if (!subtree.equals(sentUp)) {
            sentUp = subtree;
            links.parent().get().send(subtree);
        }
        if (totals != null && !totals.equals(sentDown)) {
            sentDown = totals;
            links.children().forEach(child -> child.send(totals));
        }
    }

    /** Sends everything again that a new neighbour lacks. */
    void linkOpened(ControlLink link) {
        if (link.direction() == ControlLink.Direction.PARENT) {
            sentUp = null;
        } else if (totals != null) {
            link.send(totals);
        }
    }

    void received(ControlLink link, Frame.VersionReport report) {
        if (link.direction() == ControlLink.Direction.CHILD) {
            link.receivedReport(report);
        } else {
            totals = report;
        }
    }

    int nodesKnown() {
        return count(latest().nodesByVersion().values());
    }

    int nodesInForce(long version) {
        return count(latest().nodesByVersion().tailMap(version).values());
    }

    private Frame.VersionReport latest() {
        return totals == null ? subtree() : totals;
    }

    private static int count(Collection<Integer> nodes) {
        return nodes.stream().mapToInt(Integer::intValue).sum();
    }

    private Frame.VersionReport subtree() {
        SortedMap<Long, Integer> versions = new TreeMap<>();
        versions.put(snapshots.get().version(), 1);
        for (ControlLink child : links.children()) {
            if (child.report() == null) {
                versions.merge(child.hello().version(), 1, Integer::sum);
            } else {
                child.report()
                        .nodesByVersion()
                        .forEach((version, nodes) -> versions.merge(version, nodes, Integer::sum));
            }
        }
        return new Frame.VersionReport(versions);
    }

    /** Lists all registered nodes; the version is known only for this node and its neighbours, 0 for others. */
    CompletionStage<NodeList> nodes(NodeContext context) {
        return context.table()
                .read(new ReadRequest(List.of(), List.of("node/")))
                .thenApplyAsync(
                        read -> new NodeList(Rows.allNodes(read).stream()
                                .map(node -> entry(context, node))
                                .toList()),
                        context.control());
    }

    private NodeList.Entry entry(NodeContext context, Node node) {
        boolean own = node.id().equals(context.self().id());
        Snapshot snapshot = snapshots.get();
        long version = own ? snapshot.version() : 0;
        boolean ready = own && snapshot.provenCurrent();
        for (ControlLink link : links.all()) {
            if (link.node().id().equals(node.id())) {
                version = Math.max(link.hello().version(), link.versionSent());
                ready = link.hello().provenCurrent();
            }
        }
        return new NodeList.Entry(
                node.id().value(),
                node.zone().name(),
                node.zone().region().name(),
                node.address().toString(),
                version,
                ready);
    }
}

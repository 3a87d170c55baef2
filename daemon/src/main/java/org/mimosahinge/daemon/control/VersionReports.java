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

/** Counts the nodes of the fleet by the configuration version that they have in force. */
final class VersionReports {

    private final ControlLinks links;
    private final Supplier<Snapshot> snapshots;
    private Frame.VersionReport lastSentToParent;
    private Frame.VersionReport lastSentToChildren;
    private Frame.VersionReport fleetTotals;

    VersionReports(ControlLinks links, Supplier<Snapshot> snapshots) {
        this.links = links;
        this.snapshots = snapshots;
    }

    /** Sends the subtree's report to the parent and the fleet's totals to the children if they have changed. */
    void sendChanged() {
        Frame.VersionReport subtreeReport = subtreeReport();
        if (links.parent().isEmpty()) {
            fleetTotals = subtreeReport;
        } else if (!subtreeReport.equals(lastSentToParent)) {
            lastSentToParent = subtreeReport;
            links.parent().get().send(subtreeReport);
        }
        if (fleetTotals != null && !fleetTotals.equals(lastSentToChildren)) {
            lastSentToChildren = fleetTotals;
            links.children().forEach(child -> child.send(fleetTotals));
        }
    }

    /** Sends the totals to a new child, or schedules the subtree's report to be sent again to a new parent. */
    void linkOpened(ControlLink link) {
        if (link.direction() == ControlLink.Direction.PARENT) {
            lastSentToParent = null;
        } else if (fleetTotals != null) {
            link.send(fleetTotals);
        }
    }

    void reportReceived(ControlLink link, Frame.VersionReport report) {
        if (link.direction() == ControlLink.Direction.CHILD) {
            link.recordReport(report);
        } else {
            fleetTotals = report;
        }
    }

    int nodeCount() {
        return sum(newestTotals().nodesByVersion().values());
    }

    int nodesInForce(long version) {
        return sum(newestTotals().nodesByVersion().tailMap(version).values());
    }

    private Frame.VersionReport newestTotals() {
        return fleetTotals == null ? subtreeReport() : fleetTotals;
    }

    private static int sum(Collection<Integer> nodes) {
        return nodes.stream().mapToInt(Integer::intValue).sum();
    }

    private Frame.VersionReport subtreeReport() {
        SortedMap<Long, Integer> nodesByVersion = new TreeMap<>();
        nodesByVersion.put(snapshots.get().version(), 1);
        for (ControlLink child : links.children()) {
            if (child.report() == null) {
                nodesByVersion.merge(child.hello().version(), 1, Integer::sum);
            } else {
                child.report()
                        .nodesByVersion()
                        .forEach((version, nodes) -> nodesByVersion.merge(version, nodes, Integer::sum));
            }
        }
        return new Frame.VersionReport(nodesByVersion);
    }

    /** Lists all registered nodes; the version is known only for this node and its neighbours, and 0 for others. */
    CompletionStage<NodeList> listNodes(NodeContext context) {
        return context.table()
                .read(new ReadRequest(List.of(), List.of("node/")))
                .thenApplyAsync(
                        read -> new NodeList(RowCodec.allNodes(read).stream()
                                .map(node -> listEntry(context, node))
                                .toList()),
                        context.control());
    }

    private NodeList.Entry listEntry(NodeContext context, Node node) {
        boolean isSelf = node.id().equals(context.self().id());
        Snapshot snapshot = snapshots.get();
        long version = isSelf ? snapshot.version() : 0;
        boolean ready = isSelf && snapshot.provenCurrent();
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

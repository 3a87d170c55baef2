package org.mimosahinge.daemon.fleet;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.platform.StorePosition;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;
import org.mimosahinge.core.fanout.RowSourcePolicy;
import org.mimosahinge.net.frame.Frame;

/**
 * Simulates a fleet in virtual time: one platform, nodes in regions and frames with delays, without network or threads.
 */
final class RowReplicationModel {

    private static final String KEY = "op/config";
    private static final String ORDER_KEY = "op/evacuate/z1";

    /** One-way delay between two regions of the users' deployments. */
    private static final long CROSS_REGION_DELAY_MS = 12;

    private static final long SAME_REGION_DELAY_MS = 1;
    private static final long TICK_MS = 200;

    /** As in the settings of the node's watch on the platform. */
    private static final long WATCH_TIMEOUT_MS = 600;

    private static final long COALESCE_MS = 350;
    private static final int FIRST_RETRY_MS = 100;
    private static final int MAX_RETRY_MS = 1_200;
    private static final int ROUTES = 100;

    /** The simulated platform has one era. */
    private static StorePosition at(long revision) {
        return new StorePosition(0, revision);
    }

    private record Event(long atMs, long sequence, Runnable task) {}

    /** A simulated node. */
    final class Member implements RowTransport {

        final Node node;
        private RowReplicator replicator;
        private long heldRevision;
        private StoredRow heldOrder = NO_ORDER;
        private boolean reading = true;
        private boolean rejectedByPlatform;
        private boolean frozen;
        private boolean polling;
        private int failures;
        private long storeRevision;

        Member(Node node) {
            this.node = node;
        }

        private void start() {
            replicator = new RowReplicator(node, sourcePolicy, this, nowNanos());
            heldRevision = 0;
            heldOrder = NO_ORDER;
            storeRevision = 0;
            reading = true;
            polling = false;
            RowReplicator process = replicator;
            schedule(random.nextInt((int) TICK_MS), () -> tick(process));
            poll();
        }

        private void tick(RowReplicator process) {
            if (process != replicator) {
                return;
            }
            if (!frozen) {
                replicator.tick(connected(this), connectionsVersion, nowNanos());
            }
            schedule(TICK_MS, () -> tick(process));
        }

        private void poll() {
            if (polling || !reading || frozen) {
                return;
            }
            polling = true;
            RowReplicator process = replicator;
            if (rejectedByPlatform || platformDown) {
                int limitMs = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS << Math.min(failures++, 4));
                pollEnded(process, limitMs / 2 + random.nextInt(limitMs / 2 + 1));
                return;
            }
            failures = 0;
            schedule(delayMs(node.zone().region()), () -> watch(process, nowMs + WATCH_TIMEOUT_MS));
        }

        private void watch(RowReplicator process, long untilMs) {
            if (newestRevision > storeRevision || nowMs >= untilMs) {
                long readRevision = newestRevision;
                long readMs = nowMs;
                boolean hasRows = readRevision > storeRevision;
                // A node without revision reads the whole table, in which a removed row is only missing.
                boolean fullRead = storeRevision == 0 || historyDropped;
                List<StoredRow> rows = rowsAfter(fullRead ? 0 : storeRevision).stream()
                        .filter(row -> !fullRead || !row.removed())
                        .toList();
                storeResponsesWithRows += hasRows ? 1 : 0;
                schedule(responseDelayMs(node.zone().region(), hasRows), () -> {
                    if (process == replicator && !frozen) {
                        if (hasRows) {
                            storeRevision = readRevision;
                            if (fullRead) {
                                replicator
                                        .missingFrom(rows, at(readRevision))
                                        .forEach(row -> applyRow(row, Optional.empty()));
                            }
                            rows.forEach(row -> applyRow(row, Optional.empty()));
                        }
                        replicator.platformRead(at(readRevision), readMs, nowNanos());
                    }
                    pollEnded(process, hasRows ? COALESCE_MS : 0);
                });
            } else {
                schedule(5, () -> watch(process, untilMs));
            }
        }

        private void pollEnded(RowReplicator process, long pauseMs) {
            if (process == replicator) {
                schedule(pauseMs, () -> {
                    if (process == replicator) {
                        polling = false;
                        poll();
                    }
                });
            }
        }

        private void applyRow(StoredRow row, Optional<NodeId> from) {
            if (row.key().equals(ORDER_KEY)) {
                heldOrder = replicator.accept(row, true, from, nowNanos()) ? row : heldOrder;
                return;
            }
            // As on a node: the removal of the configuration changes nothing.
            if (!row.removed() && replicator.accept(row, true, from, nowNanos())) {
                if (row.revision().version() < heldRevision) {
                    throw new AssertionError(node.id() + " reverted to revision " + row.revision());
                }
                heldRevision = row.revision().version();
            }
        }

        @Override
        public void request(Node parent, Frame.RowSubscription subscription) {
            Member other = members.get(parent.id());
            deliver(this, other, () -> other.replicator.subscriptionReceived(node.id(), subscription, nowNanos()));
        }

        @Override
        public void send(NodeId child, Frame frame) {
            Member other = members.get(child);
            if (frame instanceof Frame.RowDelta rowDelta) {
                sentBytes.merge(node.id(), (long) rowDelta.delta().maxEncodedBytes(), Long::sum);
                deliver(this, other, () -> other.replicator
                        .restoreRow(rowDelta, node)
                        .ifPresent(row -> other.applyRow(row, Optional.of(node.id()))));
            } else if (frame instanceof Frame.OperatorRow row) {
                sentBytes.merge(node.id(), (long) row.content().length, Long::sum);
                deliver(
                        this,
                        other,
                        () -> other.applyRow(
                                new StoredRow(row.key(), row.revision(), row.content(), row.removed()),
                                Optional.of(node.id())));
            } else if (frame instanceof Frame.RowFreshness freshness) {
                deliver(this, other, () -> other.replicator.freshnessReceived(node, freshness, nowNanos()));
            }
        }

        @Override
        public void followPlatform(boolean enabled, StorePosition afterRevision) {
            reading = enabled;
            storeRevision = Math.max(storeRevision, afterRevision.version());
            poll();
        }
    }

    private static final StoredRow NO_ORDER = new StoredRow(ORDER_KEY, StorePosition.NONE, new byte[0], true);

    final Map<NodeId, Member> members = new HashMap<>();
    final Map<NodeId, Long> sentBytes = new HashMap<>();
    private final RowSourcePolicy sourcePolicy;
    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.atMs != b.atMs ? Long.compare(a.atMs, b.atMs) : Long.compare(a.sequence, b.sequence));
    private StoredRow config;
    private StoredRow order = NO_ORDER;
    private boolean historyDropped;
    private final Set<NodeId> stoppedNodes = new HashSet<>();
    private final Map<Member, List<Node>> connectedNodes = new HashMap<>();
    private final Region storeRegion = new Region("r0");
    private double frameLossProbability;
    private boolean platformDown;
    private long connectionsVersion;
    private long newestRevision;
    private long eventSequence;
    private long responseTransferMs;
    private long linkQueueingMs;
    private long linkFreeAtMs;
    private long nowMs = 1_000;
    long storeResponsesWithRows;

    RowReplicationModel(RowSourcePolicy sourcePolicy, int nodes, int regions, long seed) {
        this.sourcePolicy = sourcePolicy;
        random = new Random(seed);
        changeConfig();
        for (int i = 0; i < nodes; i++) {
            Region region = new Region("r" + i % regions);
            Node node = new Node(
                    new NodeId("node-" + i),
                    1,
                    new AvailabilityZone("z" + i % (2 * regions), region),
                    new HostPort("10.0.0.1", 1 + i));
            members.put(node.id(), new Member(node));
        }
        members.values().forEach(Member::start);
    }

    /** Changes one route of the configuration, as an operator would. */
    void changeConfig() {
        newestRevision++;
        StringBuilder config = new StringBuilder("{\"version\":\"r" + newestRevision + "\",\"resources\":[");
        for (int i = 0; i < ROUTES; i++) {
            long timeout = i == newestRevision % ROUTES ? newestRevision : 1;
            config.append("{\"name\":\"route-" + i + "\",\"prefix\":\"/p" + i * 7919 + "/\",\"timeoutS\":" + timeout
                    + ".5,\"service\":\"s" + i % 3 + "\"},");
        }
        byte[] content = config.append("{}]}").toString().getBytes(StandardCharsets.UTF_8);
        this.config = new StoredRow(KEY, at(newestRevision), content, false);
    }

    /** Writes or removes an operator's order, as a row of its own. */
    void setOrder(boolean present) {
        order = new StoredRow(ORDER_KEY, at(++newestRevision), new byte[0], !present);
    }

    /** Sets whether the platform has dropped its history, so that nodes read all rows instead of the changes. */
    void setHistoryDropped(boolean dropped) {
        historyDropped = dropped;
    }

    /** Counts the nodes on which the order is in force although it was removed, or the other way round. */
    long nodesWithOutdatedOrder() {
        return members.values().stream()
                .filter(member -> !stoppedNodes.contains(member.node.id())
                        && !member.frozen
                        && member.heldOrder.removed() != order.removed())
                .count();
    }

    private List<StoredRow> rowsAfter(long revision) {
        return List.of(config, order).stream()
                .filter(row -> row.revision().version() > revision)
                .toList();
    }

    void run(long ms) {
        long endMs = nowMs + ms;
        while (!events.isEmpty() && events.peek().atMs <= endMs) {
            Event event = events.poll();
            nowMs = event.atMs;
            event.task.run();
        }
        nowMs = endMs;
    }

    long laggingNodes() {
        return members.values().stream()
                .filter(member -> !stoppedNodes.contains(member.node.id())
                        && !member.frozen
                        && member.heldRevision < config.revision().version())
                .count();
    }

    int configBytes() {
        return config.content().length;
    }

    /** Returns the readers of a region, or of all regions for an empty name. */
    List<Member> readers(String region) {
        return members.values().stream()
                .filter(member ->
                        region.isEmpty() || member.node.zone().region().name().equals(region))
                .filter(member ->
                        sourcePolicy.sources(member.node, connected(member)).readsPlatform())
                .toList();
    }

    void rejectAtPlatform(List<Member> rejected) {
        rejected.forEach(member -> member.rejectedByPlatform = true);
    }

    /** Freezes nodes; their connections stay open. */
    void freeze(List<Member> stopped) {
        stopped.forEach(member -> member.frozen = true);
    }

    /** Kills nodes; their connections close. */
    void kill(List<Member> killed) {
        killed.forEach(member -> {
            stoppedNodes.add(member.node.id());
            member.frozen = true;
        });
        reconnect();
    }

    void start(List<Member> started) {
        started.forEach(member -> {
            stoppedNodes.remove(member.node.id());
            member.frozen = false;
            member.start();
        });
        reconnect();
    }

    void setFrameLoss(double probability) {
        frameLossProbability = probability;
    }

    void setPlatformDown(boolean down) {
        platformDown = down;
    }

    private void reconnect() {
        connectionsVersion++;
        connectedNodes.clear();
        for (Member member : members.values()) {
            members.keySet().forEach(id -> member.replicator.connectionOpened(id, nowNanos()));
        }
    }

    private List<Node> connected(Member self) {
        return connectedNodes.computeIfAbsent(self, key -> members.values().stream()
                .filter(member -> member != key && !stoppedNodes.contains(member.node.id()))
                .map(member -> member.node)
                .toList());
    }

    private long delayMs(Region region) {
        return region.equals(storeRegion) ? SAME_REGION_DELAY_MS : CROSS_REGION_DELAY_MS;
    }

    /**
     * Returns a response's delay; responses with rows queue on the link between the platform's region and the others.
     */
    private long responseDelayMs(Region region, boolean rows) {
        if (region.equals(storeRegion)) {
            return SAME_REGION_DELAY_MS;
        }
        linkFreeAtMs = Math.max(linkFreeAtMs, nowMs) + (rows ? responseTransferMs : 0);
        return linkFreeAtMs - nowMs + linkQueueingMs + CROSS_REGION_DELAY_MS;
    }

    /**
     * Limits the link from the platform's region to the others.
     *
     * @param transferMs time that one response with rows occupies the link
     * @param queueingMs time that any response waits behind calls
     */
    void limitLink(long transferMs, long queueingMs) {
        responseTransferMs = transferMs;
        linkQueueingMs = queueingMs;
    }

    private void deliver(Member from, Member to, Runnable task) {
        if (stoppedNodes.contains(from.node.id()) || random.nextDouble() < frameLossProbability) {
            return;
        }
        boolean sameRegion = from.node.zone().region().equals(to.node.zone().region());
        RowReplicator process = to.replicator;
        schedule(sameRegion ? SAME_REGION_DELAY_MS : CROSS_REGION_DELAY_MS, () -> {
            if (process == to.replicator && !to.frozen && !stoppedNodes.contains(to.node.id())) {
                task.run();
            }
        });
    }

    private void schedule(long ms, Runnable task) {
        events.add(new Event(nowMs + ms, eventSequence++, task));
    }

    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMs);
    }
}

package org.mimosahinge.daemon.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;
import org.mimosahinge.core.fanout.RowSourcePolicy;
import org.mimosahinge.net.frame.Frame;

/** A fleet in virtual time: one platform, nodes in regions, frames with delays; no network and no thread. */
final class RowSpreadModel {

    private static final String KEY = "op/config";

    /** As between two regions of the users' deployments, one way. */
    private static final long FAR_MS = 12;

    private static final long NEAR_MS = 1;
    private static final long TICK_MS = 200;

    /** As the node's settings of its watch. */
    private static final long WAIT_MS = 600;

    private static final long COLLECT_MS = 350;
    private static final int FIRST_RETRY_MS = 100;
    private static final int MAX_RETRY_MS = 1_200;
    private static final int ROUTES = 100;

    private record Event(long atMs, long order, Runnable task) {}

    /** One node. */
    final class Member implements RowLinks {

        final Node node;
        private RowExchange exchange;
        private long newest;
        private boolean reading = true;
        private boolean turnedAway;
        private boolean frozen;
        private boolean calling;
        private int failures;
        private long storeRevision;

        Member(Node node) {
            this.node = node;
        }

        private void start() {
            exchange = new RowExchange(node, rule, this, nanos());
            newest = 0;
            storeRevision = 0;
            reading = true;
            calling = false;
            RowExchange life = exchange;
            after(random.nextInt((int) TICK_MS), () -> tick(life));
            poll();
        }

        private void tick(RowExchange life) {
            if (life != exchange) {
                return;
            }
            if (!frozen) {
                exchange.tick(connected(this), connections, nanos());
            }
            after(TICK_MS, () -> tick(life));
        }

        private void poll() {
            if (calling || !reading || frozen) {
                return;
            }
            calling = true;
            RowExchange life = exchange;
            if (turnedAway || platformDown) {
                int limitMs = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS << Math.min(failures++, 4));
                ended(life, limitMs / 2 + random.nextInt(limitMs / 2 + 1));
                return;
            }
            failures = 0;
            after(delayMs(node.zone().region()), () -> watch(life, nowMs + WAIT_MS));
        }

        private void watch(RowExchange life, long untilMs) {
            if (revision > storeRevision || nowMs >= untilMs) {
                long at = revision;
                long clock = nowMs;
                boolean rows = at > storeRevision;
                storeRowsAnswered += rows ? 1 : 0;
                after(answerDelayMs(node.zone().region(), rows), () -> {
                    if (life == exchange && !frozen) {
                        if (rows) {
                            storeRevision = at;
                            take(new StoredRow(KEY, at, contents.get((int) at - 1), false), Optional.empty());
                        }
                        exchange.read(at, clock, nanos());
                    }
                    ended(life, rows ? COLLECT_MS : 0);
                });
            } else {
                after(5, () -> watch(life, untilMs));
            }
        }

        private void ended(RowExchange life, long pauseMs) {
            if (life == exchange) {
                after(pauseMs, () -> {
                    if (life == exchange) {
                        calling = false;
                        poll();
                    }
                });
            }
        }

        private void take(StoredRow row, Optional<NodeId> from) {
            if (exchange.accept(row, true, from, nanos())) {
                if (row.revision() < newest) {
                    throw new AssertionError(node.id() + " went back to " + row.revision());
                }
                newest = row.revision();
            }
        }

        @Override
        public void ask(Node parent, Frame.RowSubscription request) {
            Member other = members.get(parent.id());
            deliver(this, other, () -> other.exchange.requested(node.id(), request, nanos()));
        }

        @Override
        public void tell(NodeId child, Frame frame) {
            Member other = members.get(child);
            if (frame instanceof Frame.RowDelta change) {
                sent.merge(node.id(), (long) change.delta().maxEncodedBytes(), Long::sum);
                deliver(this, other, () -> other.exchange
                        .restore(change, node)
                        .ifPresent(row -> other.take(row, Optional.of(node.id()))));
            } else if (frame instanceof Frame.OperatorRow row) {
                sent.merge(node.id(), (long) row.content().length, Long::sum);
                deliver(
                        this,
                        other,
                        () -> other.take(
                                new StoredRow(row.key(), row.revision(), row.content(), false),
                                Optional.of(node.id())));
            } else if (frame instanceof Frame.RowFreshness current) {
                deliver(this, other, () -> other.exchange.current(node, current, nanos()));
            }
        }

        @Override
        public void read(boolean wanted, long after) {
            reading = wanted;
            storeRevision = Math.max(storeRevision, after);
            poll();
        }
    }

    final Map<NodeId, Member> members = new HashMap<>();
    final Map<NodeId, Long> sent = new HashMap<>();
    private final RowSourcePolicy rule;
    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.atMs != b.atMs ? Long.compare(a.atMs, b.atMs) : Long.compare(a.order, b.order));
    private final List<byte[]> contents = new ArrayList<>();
    private final Set<NodeId> down = new HashSet<>();
    private final Map<Member, List<Node>> connectedNodes = new HashMap<>();
    private final Region storeRegion = new Region("r0");
    private double lost;
    private boolean platformDown;
    private long connections;
    private long revision;
    private long order;
    private long rowLinkMs;
    private long linkQueueMs;
    private long linkFreeMs;
    private long nowMs = 1_000;
    long storeRowsAnswered;

    RowSpreadModel(RowSourcePolicy rule, int nodes, int regions, long seed) {
        this.rule = rule;
        random = new Random(seed);
        change();
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

    /** An operator changes one route. */
    void change() {
        revision++;
        StringBuilder document = new StringBuilder("{\"version\":\"r" + revision + "\",\"resources\":[");
        for (int i = 0; i < ROUTES; i++) {
            long timeout = i == revision % ROUTES ? revision : 1;
            document.append("{\"name\":\"route-" + i + "\",\"prefix\":\"/p" + i * 7919 + "/\",\"timeoutS\":" + timeout
                    + ".5,\"service\":\"s" + i % 3 + "\"},");
        }
        contents.add(document.append("{}]}").toString().getBytes(StandardCharsets.UTF_8));
    }

    void run(long ms) {
        long until = nowMs + ms;
        while (!events.isEmpty() && events.peek().atMs <= until) {
            Event event = events.poll();
            nowMs = event.atMs;
            event.task.run();
        }
        nowMs = until;
    }

    long lagging() {
        return members.values().stream()
                .filter(member -> !down.contains(member.node.id()) && !member.frozen && member.newest < revision)
                .count();
    }

    int documentBytes() {
        return contents.get(contents.size() - 1).length;
    }

    /** The readers of a region, or of all for an empty name. */
    List<Member> readers(String region) {
        return members.values().stream()
                .filter(member ->
                        region.isEmpty() || member.node.zone().region().name().equals(region))
                .filter(member -> rule.sources(member.node, connected(member)).readsPlatform())
                .toList();
    }

    void turnAway(List<Member> turnedAway) {
        turnedAway.forEach(member -> member.turnedAway = true);
    }

    /** Stops nodes whose connections stay open. */
    void freeze(List<Member> stopped) {
        stopped.forEach(member -> member.frozen = true);
    }

    /** Kills nodes; the others see their connections end. */
    void kill(List<Member> killed) {
        killed.forEach(member -> {
            down.add(member.node.id());
            member.frozen = true;
        });
        reconnect();
    }

    void start(List<Member> started) {
        started.forEach(member -> {
            down.remove(member.node.id());
            member.frozen = false;
            member.start();
        });
        reconnect();
    }

    void lose(double share) {
        lost = share;
    }

    void platformDown(boolean away) {
        platformDown = away;
    }

    private void reconnect() {
        connections++;
        connectedNodes.clear();
        for (Member member : members.values()) {
            members.keySet().forEach(id -> member.exchange.connected(id, nanos()));
        }
    }

    private List<Node> connected(Member self) {
        return connectedNodes.computeIfAbsent(self, key -> members.values().stream()
                .filter(member -> member != key && !down.contains(member.node.id()))
                .map(member -> member.node)
                .toList());
    }

    private long delayMs(Region region) {
        return region.equals(storeRegion) ? NEAR_MS : FAR_MS;
    }

    /** Answers with rows wait for each other on the link between the platform's region and the others. */
    private long answerDelayMs(Region region, boolean rows) {
        if (region.equals(storeRegion)) {
            return NEAR_MS;
        }
        linkFreeMs = Math.max(linkFreeMs, nowMs) + (rows ? rowLinkMs : 0);
        return linkFreeMs - nowMs + linkQueueMs + FAR_MS;
    }

    /**
     * Bounds the link from the platform's region to the others.
     *
     * @param rowMs time that one answer with rows occupies it
     * @param queueMs time that any answer waits behind calls
     */
    void link(long rowMs, long queueMs) {
        rowLinkMs = rowMs;
        linkQueueMs = queueMs;
    }

    private void deliver(Member from, Member to, Runnable task) {
        if (down.contains(from.node.id()) || random.nextDouble() < lost) {
            return;
        }
        boolean near = from.node.zone().region().equals(to.node.zone().region());
        RowExchange life = to.exchange;
        after(near ? NEAR_MS : FAR_MS, () -> {
            if (life == to.exchange && !to.frozen && !down.contains(to.node.id())) {
                task.run();
            }
        });
    }

    private void after(long ms, Runnable task) {
        events.add(new Event(nowMs + ms, order++, task));
    }

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMs);
    }
}

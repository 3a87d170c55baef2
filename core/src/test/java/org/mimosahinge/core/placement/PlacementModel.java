package org.mimosahinge.core.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.Proximity;
import org.mimosahinge.core.admission.SlotTimeAverages;
import org.mimosahinge.core.routing.CostModel;
import org.mimosahinge.core.routing.EndpointChoice;
import org.mimosahinge.core.routing.EndpointChoiceRequest;
import org.mimosahinge.core.routing.EndpointChooser;
import org.mimosahinge.core.routing.EndpointLoad;
import org.mimosahinge.core.routing.EndpointStats;
import org.mimosahinge.core.routing.ExpectedTimeChooser;

/**
 * A fleet in virtual time whose entry nodes learn the load of endpoints from responses only. Endpoints differ in speed
 * by a factor of three and are slow for half a second at a time; the demand of the zones swings in turn.
 */
final class PlacementModel {

    private static final double[] SPEEDS = {1, 0.6, 1.8, 0.8, 1.4, 1.2};
    private static final double SLOW_FACTOR = 2.5;
    private static final double SLOW_MS = 500;
    private static final double USUAL_MS = 2_500;
    private static final double SWING = 0.5;
    private static final double SWING_PERIOD_MS = 8_000;
    private static final double KILOBYTES = 2;
    private static final double WARM_UP_MS = 4_000;
    private static final double END_MS = 24_000;
    private static final long RECENT_MS = 250;

    private final Site site;
    private final boolean workingSets;
    private final double utilisation;
    private final Random random;
    private final SampleFleet fleet;
    private final Snapshot snapshot;
    private final EndpointChooser chooser = ExpectedTimeChooser.create(CostModel.PAID_LINKS);
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, Server> servers = new HashMap<>();
    private final List<Double> waitsMs = new ArrayList<>();
    private double nowMs;
    private int staleChoices;
    private int choices;
    private int crossings;
    private int late;

    PlacementModel(Site site, boolean workingSets, double utilisation, long seed) {
        this.site = site;
        this.workingSets = workingSets;
        this.utilisation = utilisation;
        random = new Random(seed);
        fleet = SampleFleet.of(site.nodes(), site.endpoints(), i -> i % 4, i -> site.slots());
        snapshot = fleet.snapshot();
        for (int i = 0; i < site.endpoints(); i++) {
            servers.put(fleet.desk().get(i).id(), new Server(SPEEDS[random.nextInt(SPEEDS.length)]));
        }
    }

    private record Event(double atMs, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return Double.compare(atMs, other.atMs);
        }
    }

    /**
     * A fleet and the service that its entry nodes call.
     *
     * @param nodes number of nodes, each an entry node
     * @param endpoints endpoints of the service, each beside one of the nodes
     * @param slots slots of each endpoint
     * @param workMs mean work of a call
     * @param aimMs time within which a response is fully useful
     * @param patient whether calls may stay in their set for as long as they end within that time
     */
    record Site(int nodes, int endpoints, int slots, double workMs, long aimMs, boolean patient) {

        Site(int nodes, int endpoints, int slots, double workMs, long aimMs) {
            this(nodes, endpoints, slots, workMs, aimMs, false);
        }
    }

    /**
     * Figures of one run.
     *
     * @param meanWaitMs mean wait before service
     * @param p99WaitMs wait that one call in a hundred exceeds
     * @param staleShare share of choices whose endpoint had reported nothing for 250 ms
     * @param utilisationSpread highest utilisation of an endpoint divided by the mean
     * @param crossings share of calls that left their zone
     * @param lateShare share of calls that ended after their aim
     */
    record Figures(
            double meanWaitMs,
            double p99WaitMs,
            double staleShare,
            double utilisationSpread,
            double crossings,
            double lateShare) {}

    /** A report of an endpoint's load, as a response carries it. */
    private record Report(int permille, double serviceMs, int workPercent) {}

    private record Call(EntryNode entry, Endpoint endpoint, double arrivedMs) {}

    /** A backend server with the queue that the node beside it keeps. */
    private final class Server {

        private final double speed;
        private final List<Double> phaseEnds = new ArrayList<>();
        private final ArrayDeque<Call> queue = new ArrayDeque<>();
        private final SlotTimeAverages slotTimes = new SlotTimeAverages();
        private int running;
        private double busyMs;

        Server(double speed) {
            this.speed = speed;
            double at = 0;
            while (at < 4 * END_MS) {
                at += -Math.log(1 - random.nextDouble()) * USUAL_MS;
                phaseEnds.add(at);
                at += SLOW_MS;
                phaseEnds.add(at);
            }
        }

        private int phase(double atMs) {
            int index = Collections.binarySearch(phaseEnds, atMs);
            return index >= 0 ? index + 1 : -index - 1;
        }

        private double rate(int phase) {
            return speed / (phase % 2 == 0 ? 1 : SLOW_FACTOR);
        }

        double finishMs(double startMs, double workMs) {
            double at = startMs;
            double left = workMs;
            for (int phase = phase(startMs); ; phase++) {
                double end = phase < phaseEnds.size() ? phaseEnds.get(phase) : Double.MAX_VALUE;
                double possible = (end - at) * rate(phase);
                if (possible >= left) {
                    return at + left / rate(phase);
                }
                left -= possible;
                at = end;
            }
        }

        void arrive(Call call) {
            if (running < site.slots()) {
                run(call);
            } else {
                queue.add(call);
            }
        }

        private void run(Call call) {
            running++;
            if (call.arrivedMs() > WARM_UP_MS) {
                waitsMs.add(nowMs - call.arrivedMs());
            }
            double startMs = nowMs;
            // The sum of two exponential times: work varies, but few calls are very short.
            double workMs = -Math.log((1 - random.nextDouble()) * (1 - random.nextDouble())) * site.workMs() / 2;
            events.add(new Event(finishMs(startMs, workMs), () -> end(call, startMs)));
        }

        private void end(Call call, double startMs) {
            Report report = new Report(
                    1_000 * (running + queue.size()) / site.slots(),
                    slotTimes.overallMs(),
                    phase(nowMs) % 2 == 0 ? 100 : (int) (100 * SLOW_FACTOR));
            slotTimes.observe(CallClass.INTERACTIVE, nowMs - startMs);
            late += call.arrivedMs() > WARM_UP_MS && nowMs - call.arrivedMs() > site.aimMs() ? 1 : 0;
            if (nowMs > WARM_UP_MS && nowMs < END_MS) {
                busyMs += nowMs - startMs;
            }
            events.add(new Event(nowMs + roundTripMs(call.entry().node, call.endpoint()) / 2, () -> call.entry()
                    .answered(call.endpoint(), report)));
            running--;
            if (!queue.isEmpty()) {
                run(queue.poll());
            }
        }
    }

    private static double roundTripMs(Node from, Endpoint to) {
        return switch (Proximity.between(from.zone(), to.node().zone())) {
            case SAME_ZONE -> 0.4;
            case SAME_REGION -> 1.4;
            case ACROSS_LINK -> 25;
        };
    }

    /** What an entry node knows of one endpoint. */
    private static final class Knowledge {
        private int outstanding;
        private int sentSinceReport;
        private double reportedMs = Double.NaN;
        private Report report = new Report(0, 0, 0);

        EndpointLoad at(double nowMs, double roundTripMs, boolean stated) {
            long ageMs = Double.isNaN(reportedMs) ? Long.MAX_VALUE : (long) (nowMs - reportedMs);
            int percent = stated ? new WorkTime(report.workPercent(), (long) reportedMs).percentAt((long) nowMs) : 0;
            return new EndpointLoad(
                    outstanding,
                    report.permille(),
                    ageMs,
                    60_000,
                    false,
                    new EndpointStats(report.serviceMs(), 0, roundTripMs, sentSinceReport, percent));
        }
    }

    private final class EntryNode {

        private final Node node;
        private final int index;
        private final PreferenceOrder order;
        private final Map<String, Knowledge> known = new HashMap<>();

        EntryNode(int index) {
            this.index = index;
            node = fleet.nodes().get(index);
            order = fleet.order(node);
        }

        private Knowledge knowledge(Endpoint endpoint) {
            return known.computeIfAbsent(endpoint.id(), id -> new Knowledge());
        }

        void scheduleNext(double perMs) {
            double peak = perMs * (1 + SWING);
            double at = nowMs - Math.log(1 - random.nextDouble()) / peak;
            if (at < END_MS) {
                events.add(new Event(at, () -> {
                    double phase = 2 * Math.PI * (nowMs / SWING_PERIOD_MS + index % 4 / 4.0);
                    if (random.nextDouble() * (1 + SWING) < 1 + SWING * Math.sin(phase)) {
                        call();
                    }
                    scheduleNext(perMs);
                }));
            }
        }

        private void call() {
            EndpointChoiceRequest request = new EndpointChoiceRequest(
                    SampleFleet.SERVICE,
                    endpoint -> true,
                    node.zone(),
                    Set.of(),
                    KILOBYTES,
                    () -> workingSets ? order : PreferenceOrder.NONE,
                    site.patient() ? site.aimMs() : 0);
            EndpointChoice choice = chooser.choose(
                            request,
                            snapshot,
                            endpoint -> knowledge(endpoint).at(nowMs, roundTripMs(node, endpoint), workingSets),
                            random::nextInt)
                    .orElseThrow();
            if (nowMs > WARM_UP_MS) {
                choices++;
                staleChoices += choice.reportAgeMs() > RECENT_MS ? 1 : 0;
                crossings += choice.proximity() == Proximity.SAME_ZONE ? 0 : 1;
            }
            Endpoint endpoint = choice.endpoint();
            knowledge(endpoint).outstanding++;
            knowledge(endpoint).sentSinceReport++;
            Server server = servers.get(endpoint.id());
            double arrivalMs = nowMs + roundTripMs(node, endpoint) / 2;
            events.add(new Event(arrivalMs, () -> server.arrive(new Call(this, endpoint, arrivalMs))));
        }

        void answered(Endpoint endpoint, Report report) {
            Knowledge knowledge = knowledge(endpoint);
            knowledge.outstanding--;
            knowledge.sentSinceReport = 0;
            knowledge.report = report;
            knowledge.reportedMs = nowMs;
        }
    }

    Figures simulate() {
        double capacity = 0;
        for (Server server : servers.values()) {
            capacity += site.slots() * server.speed;
        }
        capacity *= (USUAL_MS + SLOW_MS / SLOW_FACTOR) / (USUAL_MS + SLOW_MS);
        for (int i = 0; i < site.nodes(); i++) {
            new EntryNode(i).scheduleNext(utilisation * capacity / site.workMs() / site.nodes());
        }
        while (!events.isEmpty()) {
            Event next = events.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        double[] sorted =
                waitsMs.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        double[] busy =
                servers.values().stream().mapToDouble(server -> server.busyMs).toArray();
        return new Figures(
                Arrays.stream(sorted).average().orElseThrow(),
                sorted[sorted.length * 99 / 100],
                (double) staleChoices / choices,
                Arrays.stream(busy).max().orElseThrow()
                        / Arrays.stream(busy).average().orElseThrow(),
                (double) crossings / choices,
                (double) late / waitsMs.size());
    }
}

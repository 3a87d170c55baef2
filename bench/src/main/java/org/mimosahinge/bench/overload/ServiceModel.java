package org.mimosahinge.bench.overload;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoublePredicate;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.CallerLimits;
import org.mimosahinge.api.contract.TrafficRules;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.BackendServer;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.LogicalTimestamp;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;
import org.mimosahinge.core.admission.AdmissionDecision;
import org.mimosahinge.core.admission.AdmissionLimits;
import org.mimosahinge.core.admission.AdmissionPolicy;
import org.mimosahinge.core.admission.AdmissionView;
import org.mimosahinge.core.admission.RecentRefusals;
import org.mimosahinge.core.admission.RetryAfterPolicy;
import org.mimosahinge.core.admission.SlotRequest;
import org.mimosahinge.core.admission.SlotTimeAverages;
import org.mimosahinge.core.admission.TimelyDemand;
import org.mimosahinge.core.admission.TypicalDeadline;
import org.mimosahinge.core.routing.EndpointChoiceRequest;
import org.mimosahinge.core.routing.EndpointLoad;
import org.mimosahinge.core.routing.EndpointStats;

/** Simulates a service with several backend servers behind one node. A caller whose call is refused retries once. */
final class ServiceModel {

    /** Time in milliseconds from the start of the run until which callers arrive. */
    static final double ARRIVALS_END_MS = 14_000;

    private static final int ENDPOINT_COUNT = 6;
    private static final int SLOTS = 12;
    private static final double MEAN_WORK_MS = 120;

    /** Speeds of the backend servers in turn; they differ by more than a factor of two. */
    private static final double[] SPEEDS = {1, 0.7, 1.6};

    /** Standard deviation of the logarithm of a call's work. */
    private static final double WORK_LOG_DEVIATION = 0.8;

    private static final int MAX_ATTEMPTS = 4;
    private static final double CONFIRMATION_FRACTION = 0.2;

    private final AdmissionVariant variant;
    private final Load load;
    private final Random random;
    private final List<Server> servers = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Caller> callers = new ArrayList<>();
    private final Snapshot snapshot;
    private double nowMs;
    private long arrivals;

    ServiceModel(AdmissionVariant variant, Load load, long seed) {
        this.variant = variant;
        this.load = load;
        random = new Random(seed);
        AvailabilityZone zone = new AvailabilityZone("z", new Region("r"));
        for (int i = 0; i < ENDPOINT_COUNT; i++) {
            servers.add(new Server(i, zone, SPEEDS[i % SPEEDS.length] / (i == 0 ? load.slowFactor() : 1)));
        }
        snapshot = new Snapshot(
                1,
                new TreeMap<>(),
                Map.of(),
                Map.of(),
                List.of(),
                Map.of(),
                Map.of("shop", servers.stream().map(server -> server.endpoint).toList()),
                Set.of(),
                true,
                CallerLimits.DEFAULT,
                TrafficRules.NONE);
    }

    private record Event(double atMs, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return Double.compare(atMs, other.atMs);
        }
    }

    private static final class Caller {

        private final CallClass callClass;
        private final double firstCallMs;
        private boolean retried;
        private double responseMs = Double.NaN;

        Caller(CallClass callClass, double firstCallMs) {
            this.callClass = callClass;
            this.firstCallMs = firstCallMs;
        }

        long targetMs() {
            return callClass == CallClass.CONFIRMATION ? 500 : 400;
        }

        long deadlineMs() {
            return callClass == CallClass.CONFIRMATION ? 2_000 : 1_500;
        }
    }

    /** A backend server with its queue and the statistics that the calling node keeps of it. */
    private static final class Server {

        private final Endpoint endpoint;
        private final double speed;
        private final AdmissionLimits limits;
        private final TreeMap<SlotRequest, Caller> queue = new TreeMap<>();
        private final SlotTimeAverages slotTimes = new SlotTimeAverages();
        private final RecentRefusals recentRefusals = new RecentRefusals();
        private final TimelyDemand timelyDemand = new TimelyDemand();
        private int running;
        private int lateRunning;
        private int outstanding;
        private int reportedPermille;
        private double reportedMs = Double.NEGATIVE_INFINITY;
        private int sentSinceReport;

        Server(int index, AvailabilityZone zone, double speed) {
            this.speed = speed;
            BackendServer backend =
                    new BackendServer("shop", "v1", new HostPort("127.0.0.1", index + 1), SLOTS, 130, Set.of());
            limits = new AdmissionLimits(SLOTS, 0, 256);
            Node node = new Node(new NodeId("n" + index), 1, zone, new HostPort("127.0.0.1", 100 + index));
            endpoint = new Endpoint("e" + index, backend, node, EndpointState.READY, new LogicalTimestamp(1, 1));
        }

        AdmissionView view(double nowMs, CallClass callClass) {
            return new AdmissionView(
                    limits,
                    running,
                    queue.navigableKeySet(),
                    slotTimes.overallMs(),
                    (long) nowMs,
                    slotTimes.classMs(callClass),
                    slotTimes.higherClassFraction(callClass),
                    lateRunning,
                    timelyDemand.slots((long) nowMs));
        }

        void report(double nowMs) {
            reportedPermille = 1_000 * (running + queue.size()) / SLOTS;
            reportedMs = nowMs;
            sentSinceReport = 0;
        }

        EndpointLoad loadAt(double nowMs) {
            long reportAgeMs = reportedMs < 0 ? Long.MAX_VALUE : (long) (nowMs - reportedMs);
            EndpointStats stats = new EndpointStats(slotTimes.overallMs(), 0, 1, sentSinceReport);
            return new EndpointLoad(outstanding, reportedPermille, reportAgeMs, 60_000, false, stats);
        }
    }

    /** Runs the simulation until all calls have ended. */
    ServiceModel simulate() {
        double capacityPerMs = SLOTS * ENDPOINT_COUNT * (1 + 0.7 + 1.6) / 3 / MEAN_WORK_MS;
        double arrivalMs = 0;
        while (arrivalMs < ARRIVALS_END_MS) {
            arrivalMs += -Math.log(1 - random.nextDouble()) / (capacityPerMs * load.factorAt(arrivalMs));
            CallClass callClass =
                    random.nextDouble() < CONFIRMATION_FRACTION ? CallClass.CONFIRMATION : CallClass.INTERACTIVE;
            Caller caller = new Caller(callClass, arrivalMs);
            callers.add(caller);
            events.add(new Event(arrivalMs, () -> call(caller)));
        }
        while (!events.isEmpty()) {
            Event next = events.poll();
            nowMs = next.atMs();
            next.action().run();
        }
        return this;
    }

    /** Counts how the callers of a class were served whose first call was at one of the given times. */
    ServedCounts servedCounts(CallClass callClass, DoublePredicate firstCalled) {
        ServedCounts counts = ServedCounts.NONE;
        for (Caller caller : callers) {
            if (caller.callClass == callClass && firstCalled.test(caller.firstCallMs)) {
                boolean served = !Double.isNaN(caller.responseMs);
                counts = counts.plus(served && caller.responseMs - caller.firstCallMs <= caller.targetMs(), served);
            }
        }
        return counts;
    }

    private void call(Caller caller) {
        Set<String> excluded = new HashSet<>();
        long estimatedWaitMs = 0;
        long remainingMs = (long) (caller.deadlineMs() - (nowMs - caller.firstCallMs));
        long earlierAttemptsMs = variant.countsEarlierAttempts()
                ? new TypicalDeadline(caller.deadlineMs(), 1).earlierAttemptsMs(remainingMs)
                : 0;
        long targetMs = caller.targetMs() - earlierAttemptsMs;
        if (variant.avoidsRefusingEndpoints()) {
            for (Server server : servers) {
                long closedMs = server.recentRefusals.estimatedWaitMs(caller.callClass, targetMs <= 0, (long) nowMs);
                if (closedMs > 0) {
                    excluded.add(server.endpoint.id());
                    estimatedWaitMs = estimatedWaitMs == 0 ? closedMs : Math.min(estimatedWaitMs, closedMs);
                }
            }
        }
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            EndpointChoiceRequest request = new EndpointChoiceRequest(
                    "shop", endpoint -> true, servers.get(0).endpoint.node().zone(), excluded, 1);
            Optional<Server> chosen = variant.chooser()
                    .choose(request, snapshot, endpoint -> server(endpoint).loadAt(nowMs), random::nextInt)
                    .map(choice -> server(choice.endpoint()));
            if (chosen.isEmpty()) {
                break;
            }
            AdmissionDecision decision = offer(chosen.get(), caller, targetMs, remainingMs);
            if (!(decision instanceof AdmissionDecision.Refuse refusal)) {
                return;
            }
            chosen.get().recentRefusals.recordRefusal(caller.callClass, targetMs <= 0, refusal.estimatedWaitMs(), (long)
                    nowMs);
            excluded.add(chosen.get().endpoint.id());
            estimatedWaitMs = estimatedWaitMs == 0
                    ? refusal.estimatedWaitMs()
                    : Math.min(estimatedWaitMs, refusal.estimatedWaitMs());
        }
        scheduleRetry(caller, estimatedWaitMs, targetMs);
    }

    private Server server(Endpoint endpoint) {
        return servers.stream()
                .filter(server -> server.endpoint == endpoint)
                .findFirst()
                .orElseThrow();
    }

    private AdmissionDecision offer(Server server, Caller caller, long targetMs, long remainingMs) {
        long latestEndMs = (long) nowMs + variant.latencyBudget().remainingMs(caller.callClass, targetMs, remainingMs);
        SlotRequest slotRequest = new SlotRequest(caller.callClass, latestEndMs, ++arrivals);
        double typicalSlotMs = server.slotTimes.classMs(caller.callClass);
        boolean late = AdmissionPolicy.isLate(slotRequest, (long) nowMs, typicalSlotMs);
        if (!late) {
            server.timelyDemand.arrived(typicalSlotMs, (long) nowMs);
        }
        AdmissionDecision decision = AdmissionPolicy.decide(server.view(nowMs, caller.callClass), slotRequest);
        if (decision instanceof AdmissionDecision.Run) {
            recordSent(server);
            run(server, caller, late);
        } else if (decision instanceof AdmissionDecision.Wait) {
            recordSent(server);
            server.queue.put(slotRequest, caller);
        }
        if (decision instanceof AdmissionDecision.Refuse) {
            server.report(nowMs);
        }
        return decision;
    }

    private static void recordSent(Server server) {
        server.outstanding++;
        server.sentSinceReport++;
    }

    private void run(Server server, Caller caller, boolean late) {
        server.running++;
        server.lateRunning += late ? 1 : 0;
        double workMs = MEAN_WORK_MS
                / server.speed
                * Math.exp(WORK_LOG_DEVIATION * random.nextGaussian() - WORK_LOG_DEVIATION * WORK_LOG_DEVIATION / 2);
        events.add(new Event(nowMs + workMs, () -> completed(server, caller, workMs, late)));
    }

    private void completed(Server server, Caller caller, double workMs, boolean late) {
        server.running--;
        server.lateRunning -= late ? 1 : 0;
        server.outstanding--;
        server.slotTimes.observe(caller.callClass, workMs);
        if (nowMs - caller.firstCallMs <= caller.deadlineMs()) {
            caller.responseMs = nowMs;
        }
        while (!server.queue.isEmpty() && server.running < SLOTS) {
            var next = server.queue.pollFirstEntry();
            double typicalSlotMs = server.slotTimes.classMs(next.getValue().callClass);
            if (AdmissionPolicy.latestStartMs(next.getKey(), typicalSlotMs) >= nowMs) {
                run(server, next.getValue(), false);
            } else {
                server.outstanding--;
                scheduleRetry(next.getValue(), 0, 0);
            }
        }
        server.report(nowMs);
    }

    private void scheduleRetry(Caller caller, long estimatedWaitMs, long targetMs) {
        if (!caller.retried) {
            caller.retried = true;
            long remainingMs = (long) (caller.deadlineMs() - (nowMs - caller.firstCallMs));
            long delayMs = RetryAfterPolicy.retryAfterMs(estimatedWaitMs, targetMs, remainingMs, random::nextInt);
            events.add(new Event(nowMs + delayMs, () -> call(caller)));
        }
    }
}

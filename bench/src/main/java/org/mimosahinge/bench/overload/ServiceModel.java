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
import org.mimosahinge.core.admission.TypicalDeadline;
import org.mimosahinge.core.routing.EndpointChoiceRequest;
import org.mimosahinge.core.routing.EndpointLoad;
import org.mimosahinge.core.routing.EndpointStats;

/** One service of several backend servers, called through one node by callers that return once after a refusal. */
final class ServiceModel {

    /** Length of a run in milliseconds. */
    static final double LENGTH_MS = 14_000;

    private static final int ENDPOINTS = 6;
    private static final int SLOTS = 12;
    private static final double WORK_MS = 120;

    /** Speeds of the backend servers in turn; they differ by more than two. */
    private static final double[] SPEEDS = {1, 0.7, 1.6};

    /** Spread of the logarithm of a call's work. */
    private static final double SPREAD = 0.8;

    private static final int ATTEMPTS = 4;
    private static final double CONFIRMATION_PART = 0.2;

    private final Contestant contestant;
    private final Load load;
    private final Random random;
    private final List<Server> servers = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Caller> callers = new ArrayList<>();
    private final Snapshot snapshot;
    private double now;
    private long arrivals;

    ServiceModel(Contestant contestant, Load load, long seed) {
        this.contestant = contestant;
        this.load = load;
        random = new Random(seed);
        AvailabilityZone zone = new AvailabilityZone("z", new Region("r"));
        for (int i = 0; i < ENDPOINTS; i++) {
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
                CallerLimits.DEFAULT);
    }

    private record Event(double atMs, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return Double.compare(atMs, other.atMs);
        }
    }

    private static final class Caller {

        private final CallClass callClass;
        private final double firstMs;
        private boolean returned;
        private double answeredMs = Double.NaN;

        Caller(CallClass callClass, double firstMs) {
            this.callClass = callClass;
            this.firstMs = firstMs;
        }

        long targetMs() {
            return callClass == CallClass.CONFIRMATION ? 500 : 400;
        }

        long deadlineMs() {
            return callClass == CallClass.CONFIRMATION ? 2_000 : 1_500;
        }
    }

    /** A backend server with its queue, and what the calling node knows of it. */
    private static final class Server {

        private final Endpoint endpoint;
        private final double speed;
        private final AdmissionLimits limits;
        private final TreeMap<SlotRequest, Caller> waiting = new TreeMap<>();
        private final SlotTimeAverages times = new SlotTimeAverages();
        private final RecentRefusals refused = new RecentRefusals();
        private int running;
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
                    waiting.navigableKeySet(),
                    times.overallMs(),
                    (long) nowMs,
                    times.classMs(callClass),
                    times.higherClassFraction(callClass));
        }

        void report(double nowMs) {
            reportedPermille = 1_000 * (running + waiting.size()) / SLOTS;
            reportedMs = nowMs;
            sentSinceReport = 0;
        }

        EndpointLoad known(double nowMs) {
            long age = reportedMs < 0 ? Long.MAX_VALUE : (long) (nowMs - reportedMs);
            EndpointStats pace = new EndpointStats(times.overallMs(), 0, 1, sentSinceReport);
            return new EndpointLoad(outstanding, reportedPermille, age, 60_000, false, pace);
        }
    }

    /** Plays the run. */
    ServiceModel play() {
        double perMs = SLOTS * ENDPOINTS * (1 + 0.7 + 1.6) / 3 / WORK_MS;
        double at = 0;
        while (at < LENGTH_MS) {
            at += -Math.log(1 - random.nextDouble()) / (perMs * load.at(at));
            CallClass callClass =
                    random.nextDouble() < CONFIRMATION_PART ? CallClass.CONFIRMATION : CallClass.INTERACTIVE;
            Caller caller = new Caller(callClass, at);
            callers.add(caller);
            events.add(new Event(at, () -> call(caller)));
        }
        while (!events.isEmpty()) {
            Event next = events.poll();
            now = next.atMs();
            next.action().run();
        }
        return this;
    }

    /** Tells how the callers of a class were served that first called at certain times. */
    Share share(CallClass callClass, DoublePredicate firstCalled) {
        Share share = Share.NONE;
        for (Caller caller : callers) {
            if (caller.callClass == callClass && firstCalled.test(caller.firstMs)) {
                boolean served = !Double.isNaN(caller.answeredMs);
                share = share.plus(served && caller.answeredMs - caller.firstMs <= caller.targetMs(), served);
            }
        }
        return share;
    }

    private void call(Caller caller) {
        Set<String> excluded = new HashSet<>();
        long room = 0;
        long leftMs = (long) (caller.deadlineMs() - (now - caller.firstMs));
        long waited =
                contestant.knowsReturns() ? new TypicalDeadline(caller.deadlineMs(), 1).earlierAttemptsMs(leftMs) : 0;
        long targetMs = caller.targetMs() - waited;
        if (contestant.remembersRefusals()) {
            for (Server server : servers) {
                long closed = server.refused.estimatedWaitMs(caller.callClass, targetMs <= 0, (long) now);
                if (closed > 0) {
                    excluded.add(server.endpoint.id());
                    room = room == 0 ? closed : Math.min(room, closed);
                }
            }
        }
        for (int i = 0; i < ATTEMPTS; i++) {
            EndpointChoiceRequest request = new EndpointChoiceRequest(
                    "shop", endpoint -> true, servers.get(0).endpoint.node().zone(), excluded, 1);
            Optional<Server> chosen = contestant
                    .chooser()
                    .choose(request, snapshot, endpoint -> server(endpoint).known(now), random::nextInt)
                    .map(choice -> server(choice.endpoint()));
            if (chosen.isEmpty()) {
                break;
            }
            AdmissionDecision decision = offer(chosen.get(), caller, targetMs, leftMs);
            if (!(decision instanceof AdmissionDecision.Refuse refusal)) {
                return;
            }
            chosen.get().refused.recordRefusal(caller.callClass, targetMs <= 0, refusal.estimatedWaitMs(), (long) now);
            excluded.add(chosen.get().endpoint.id());
            room = room == 0 ? refusal.estimatedWaitMs() : Math.min(room, refusal.estimatedWaitMs());
        }
        refuse(caller, room, targetMs);
    }

    private Server server(Endpoint endpoint) {
        return servers.stream()
                .filter(server -> server.endpoint == endpoint)
                .findFirst()
                .orElseThrow();
    }

    private AdmissionDecision offer(Server server, Caller caller, long targetMs, long leftMs) {
        long finishBy = (long) now + contestant.finishBy().remainingMs(caller.callClass, targetMs, leftMs);
        SlotRequest waiter = new SlotRequest(caller.callClass, finishBy, ++arrivals);
        AdmissionDecision decision = AdmissionPolicy.decide(server.view(now, caller.callClass), waiter);
        if (decision instanceof AdmissionDecision.Run) {
            sent(server);
            run(server, caller);
        } else if (decision instanceof AdmissionDecision.Wait) {
            sent(server);
            server.waiting.put(waiter, caller);
        }
        if (decision instanceof AdmissionDecision.Refuse) {
            server.report(now);
        }
        return decision;
    }

    private static void sent(Server server) {
        server.outstanding++;
        server.sentSinceReport++;
    }

    private void run(Server server, Caller caller) {
        server.running++;
        double work = WORK_MS / server.speed * Math.exp(SPREAD * random.nextGaussian() - SPREAD * SPREAD / 2);
        events.add(new Event(now + work, () -> ended(server, caller, work)));
    }

    private void ended(Server server, Caller caller, double work) {
        server.running--;
        server.outstanding--;
        server.times.observe(caller.callClass, work);
        if (now - caller.firstMs <= caller.deadlineMs()) {
            caller.answeredMs = now;
        }
        while (!server.waiting.isEmpty() && server.running < SLOTS) {
            var next = server.waiting.pollFirstEntry();
            double own = server.times.classMs(next.getValue().callClass);
            if (AdmissionPolicy.latestStartMs(next.getKey(), own) >= now) {
                run(server, next.getValue());
            } else {
                server.outstanding--;
                refuse(next.getValue(), 0, 0);
            }
        }
        server.report(now);
    }

    private void refuse(Caller caller, long roomInMs, long targetMs) {
        if (!caller.returned) {
            caller.returned = true;
            long leftMs = (long) (caller.deadlineMs() - (now - caller.firstMs));
            long wait = RetryAfterPolicy.retryAfterMs(roomInMs, targetMs, leftMs, random::nextInt);
            events.add(new Event(now + wait, () -> call(caller)));
        }
    }
}

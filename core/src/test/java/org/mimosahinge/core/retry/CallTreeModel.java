package org.mimosahinge.core.retry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.contract.ServiceLimits;

/**
 * Services that call each other, without a network: each endpoint has a node with retry budgets of its own, and virtual
 * time passes from event to event.
 */
final class CallTreeModel {

    static final double RATIO = 0.2;
    static final int SLACK = 64;

    /** Bound on repeats in any span of this length. */
    private static final long WINDOW_MS = 10_000;

    private static final long STEP_MS = 500;
    private static final long DEADLINE_MS = 2_000;
    private static final int MAX_ATTEMPTS = 3;
    private static final long CALLER_PAUSE_MS = 100;

    /** A node uses this fraction of ratio and slack, as on the users' platform. */
    private static final double FRACTION = 0.75;

    /** Probability that a call made on this node was made by a repeat, as its node accounts for it. */
    @FunctionalInterface
    interface Accounting extends ToIntFunction<RunningRepeats> {}

    /** Chooses one of the endpoints that a call has not tried yet. */
    @FunctionalInterface
    interface Choice {
        int choose(List<Integer> untried, Random random);

        static Choice uniform() {
            return (untried, random) -> untried.get(random.nextInt(untried.size()));
        }

        /** All first attempts go to the same endpoint, as when its reports make it look idle. */
        static Choice alwaysFirst() {
            return (untried, random) -> untried.get(0);
        }
    }

    /**
     * A service of the tree.
     *
     * @param endpoints number of endpoints, each with a node
     * @param refusing number of endpoints that refuse calls during the trouble
     * @param refusedShare share of their calls that they refuse then
     * @param failedShare share of runs that fail during the trouble
     * @param workMs duration of a run without its calls
     * @param children indexes of the services that each run calls
     * @param together whether a run makes its calls at the same time, else one after the other
     */
    record ServiceShape(
            int endpoints,
            int refusing,
            double refusedShare,
            double failedShare,
            long workMs,
            List<Integer> children,
            boolean together) {}

    /**
     * A deployment under load.
     *
     * @param services the services; external callers call the first one
     * @param callsPerSecond rate of external calls without the callers' own retries
     * @param callerRetries number of times that a caller tries again after a failure
     * @param troubleFromMs start of the trouble
     * @param troubleToMs end of the trouble
     * @param durationMs end of the load
     */
    record Scenario(
            List<ServiceShape> services,
            int callsPerSecond,
            int callerRetries,
            long troubleFromMs,
            long troubleToMs,
            long durationMs) {}

    private record Event(long atMs, long number, Runnable action) {}

    /** Requests for a service and its repeats, by step of time. */
    private static final class Counts {
        private final Map<Long, Integer> requests = new HashMap<>();
        private final Map<Long, Integer> repeats = new HashMap<>();

        private static int sum(Map<Long, Integer> counts, long fromStep) {
            int sum = 0;
            for (long step = fromStep; step < fromStep + WINDOW_MS / STEP_MS; step++) {
                sum += counts.getOrDefault(step, 0);
            }
            return sum;
        }
    }

    private final class ModelNode {
        private final RunningRepeats running = new RunningRepeats();
        private final RetryBudgets budgets = new RetryBudgets();
    }

    private final Scenario scenario;
    private final Accounting accounting;
    private final Choice choice;
    private final Random random;
    private final RetryPolicy policy = RetryPolicy.countingReachedEndpoints();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
    private final List<List<ModelNode>> nodes = new ArrayList<>();
    private final List<Service> services = new ArrayList<>();
    private final List<Counts> counts = new ArrayList<>();
    private long nowMs;
    private long eventCount;

    CallTreeModel(Scenario scenario, Accounting accounting, Choice choice, long seed) {
        this.choice = choice;
        this.scenario = scenario;
        this.accounting = accounting;
        random = new Random(seed);
        int total =
                scenario.services().stream().mapToInt(ServiceShape::endpoints).sum();
        ServiceLimits limits = new ServiceLimits(
                64, (int) Math.round(100 * RATIO * FRACTION), Math.max(1, (int) (SLACK * FRACTION / total)));
        for (int i = 0; i < scenario.services().size(); i++) {
            List<ModelNode> ofService = new ArrayList<>();
            for (int j = 0; j < scenario.services().get(i).endpoints(); j++) {
                ofService.add(new ModelNode());
            }
            nodes.add(ofService);
            services.add(new Service("s" + i, List.of("v1"), "v1", Optional.empty(), limits));
            counts.add(new Counts());
        }
    }

    /** Runs the scenario and returns the largest excess of repeats over what is allowed, 0 or less if there is none. */
    double largestExcess() {
        for (long at = 0; at < scenario.durationMs(); at += 1_000) {
            for (int i = 0; i < scenario.callsPerSecond(); i++) {
                schedule(at + random.nextInt(1_000), () -> externalCall(scenario.callerRetries()));
            }
        }
        for (Event event = events.poll(); event != null; event = events.poll()) {
            nowMs = event.atMs();
            event.action().run();
        }
        return counts.stream().mapToDouble(this::excess).max().orElse(0);
    }

    /** Makes a call; a caller's own retry is a new request. */
    private void externalCall(int retriesLeft) {
        Consumer<Boolean> answered = ok -> {
            if (!ok && retriesLeft > 0) {
                schedule(nowMs + CALLER_PAUSE_MS, () -> externalCall(retriesLeft - 1));
            }
        };
        new ModelCall(0, randomNode(), false, 0, answered).begin();
    }

    private double excess(Counts ofService) {
        long steps = WINDOW_MS / STEP_MS;
        double largest = Double.NEGATIVE_INFINITY;
        for (long from = 0; from <= scenario.durationMs() / STEP_MS; from++) {
            int requests = Math.max(
                    Counts.sum(ofService.requests, from),
                    Math.max(
                            Counts.sum(ofService.requests, from - steps),
                            Counts.sum(ofService.requests, from - steps / 2)));
            largest = Math.max(largest, Counts.sum(ofService.repeats, from) - RATIO * requests - SLACK);
        }
        return largest;
    }

    private ModelNode randomNode() {
        List<ModelNode> ofService = nodes.get(random.nextInt(nodes.size()));
        return ofService.get(random.nextInt(ofService.size()));
    }

    private void schedule(long atMs, Runnable action) {
        events.add(new Event(atMs, ++eventCount, action));
    }

    private boolean troubled() {
        return nowMs >= scenario.troubleFromMs() && nowMs < scenario.troubleToMs();
    }

    /** A call at its entry node. */
    private final class ModelCall {
        private final int service;
        private final ModelNode entry;
        /** Whether a repeat made the call, which the nodes do not know. */
        private final boolean madeByRepeat;

        private final int inheritedPermille;
        private final Consumer<Boolean> done;
        private final long startMs = nowMs;
        private final Set<Integer> tried = new HashSet<>();
        private int reached;

        ModelCall(int service, ModelNode entry, boolean madeByRepeat, int inheritedPermille, Consumer<Boolean> done) {
            this.service = service;
            this.entry = entry;
            this.madeByRepeat = madeByRepeat;
            this.inheritedPermille = inheritedPermille;
            this.done = done;
        }

        void begin() {
            counts.get(service).requests.merge(nowMs / STEP_MS, 1, Integer::sum);
            entry.budgets.attempted(services.get(service), inheritedPermille, nowMs);
            attempt();
        }

        private void attempt() {
            ServiceShape shape = scenario.services().get(service);
            List<Integer> untried = new ArrayList<>();
            for (int i = 0; i < shape.endpoints(); i++) {
                if (!tried.contains(i)) {
                    untried.add(i);
                }
            }
            if (untried.isEmpty()) {
                done.accept(false);
                return;
            }
            int endpoint = choice.choose(untried, random);
            tried.add(endpoint);
            ModelNode last = nodes.get(service).get(endpoint);
            if (reached > 0 && last.budgets.isOverdrawn(nowMs)) {
                schedule(nowMs + 1, () -> failed(true));
                return;
            }
            boolean repeat = reached > 0 || madeByRepeat;
            if (repeat) {
                counts.get(service).repeats.merge(nowMs / STEP_MS, 1, Integer::sum);
            }
            int permille = reached > 0 ? RunningRepeats.CERTAIN_PERMILLE : inheritedPermille;
            reached++;
            if (troubled() && endpoint < shape.refusing() && random.nextDouble() < shape.refusedShare()) {
                schedule(nowMs + 2, () -> failed(true));
                return;
            }
            last.running.started(permille);
            if (shape.together()) {
                runCallsTogether(last, repeat, permille);
            } else {
                runCalls(last, repeat, permille, 0);
            }
        }

        private void runCallsTogether(ModelNode last, boolean repeat, int permille) {
            ServiceShape shape = scenario.services().get(service);
            int[] pending = {shape.children().size()};
            boolean[] allOk = {true};
            Consumer<Boolean> answered = ok -> {
                allOk[0] &= ok;
                if (--pending[0] == 0) {
                    finishRun(last, permille, shape.workMs(), allOk[0]);
                }
            };
            for (int child : shape.children()) {
                new ModelCall(child, last, repeat, accounting.applyAsInt(last.running), answered).begin();
            }
            if (shape.children().isEmpty()) {
                finishRun(last, permille, shape.workMs(), true);
            }
        }

        private void finishRun(ModelNode last, int permille, long workMs, boolean callsOk) {
            boolean failed = !callsOk
                    || troubled()
                            && random.nextDouble()
                                    < scenario.services().get(service).failedShare();
            schedule(nowMs + workMs, () -> ended(last, permille, !failed));
        }

        private void runCalls(ModelNode last, boolean repeat, int permille, int next) {
            ServiceShape shape = scenario.services().get(service);
            if (next < shape.children().size()) {
                Consumer<Boolean> answered = ok -> {
                    if (ok) {
                        runCalls(last, repeat, permille, next + 1);
                    } else {
                        ended(last, permille, false);
                    }
                };
                ModelCall inner = new ModelCall(
                        shape.children().get(next), last, repeat, accounting.applyAsInt(last.running), answered);
                schedule(nowMs + shape.workMs() / (1 + shape.children().size()), inner::begin);
                return;
            }
            finishRun(last, permille, shape.workMs() / (1 + shape.children().size()), true);
        }

        private void ended(ModelNode last, int permille, boolean ok) {
            last.running.ended(permille);
            if (ok) {
                done.accept(true);
            } else {
                failed(false);
            }
        }

        private void failed(boolean notRun) {
            RetryView view = new RetryView(
                    true,
                    notRun,
                    tried.size(),
                    true,
                    DEADLINE_MS - (nowMs - startMs),
                    entry.budgets.of(services.get(service)),
                    reached,
                    MAX_ATTEMPTS);
            if (!policy.shouldRetry(view)) {
                done.accept(false);
                return;
            }
            if (reached > 0) {
                entry.budgets.retried(services.get(service));
            }
            attempt();
        }
    }
}

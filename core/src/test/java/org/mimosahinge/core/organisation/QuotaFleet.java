package org.mimosahinge.core.organisation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.mimosahinge.api.contract.Quota;

/**
 * A fleet in virtual time whose nodes admit calls of many organisations and report them over connections with delays.
 * Refused callers come back after the announced time.
 */
final class QuotaFleet {

    static final OrganisationBounds BOUNDS =
            new OrganisationBounds(false, java.time.Duration.ofSeconds(5), java.time.Duration.ofSeconds(5), 0.1, 20);

    private static final int TICK_MS = 200;
    private static final int CHECK_MS = 10;

    /** Wait of callers that are told none. */
    private static final int UNTOLD_WAIT_MS = 300;

    private static final int MAX_RETRIES = 2;
    private static final int LIVENESS_TICKS = 2;
    private static final double CALLS_PER_S = 900;
    private static final double LARGEST_FRACTION = 0.25;

    /** Quota of each organisation as a multiple of its usual calls. */
    static final double QUOTA_FACTOR = 1.6;

    private static final double NOT_RUN_FRACTION = 0.05;

    /** Decides on a call; baselines replace the coordinated gate. */
    @FunctionalInterface
    interface Admission {
        boolean admits(QuotaFleet fleet, int node, String organisation);
    }

    /** A message under way. */
    private record Message(long atMs, long order, int to, Runnable delivery) implements Comparable<Message> {
        @Override
        public int compareTo(Message other) {
            return atMs != other.atMs ? Long.compare(atMs, other.atMs) : Long.compare(order, other.order);
        }
    }

    private record Call(String organisation, int retries) {}

    /** A node with both roles. */
    private final class Node {
        private final int number;
        private final String id;
        private final int phaseMs = random.nextInt(TICK_MS);
        private Map<String, QuotaGate> gates = new HashMap<>();
        private QuotaReporter reporter = new QuotaReporter();
        private QuotaCoordinatorOrder coordinators = new QuotaCoordinatorOrder();
        private QuotaAccounts accounts = new QuotaAccounts();
        private int incarnation;
        private int ticks;

        Node(int number) {
            this.number = number;
            id = "n" + number;
            restart();
        }

        void restart() {
            incarnation++;
            gates = new HashMap<>();
            QuotaLimits limits = limits();
            quotas.keySet()
                    .forEach(name -> gates.put(name, QuotaGate.initial(limits.of(name), nowMs, random::nextInt)));
            reporter = new QuotaReporter();
            coordinators = new QuotaCoordinatorOrder();
            accounts = new QuotaAccounts();
        }

        void tick() {
            ticks++;
            QuotaLimits limits = limits();
            gates.replaceAll((name, gate) -> gate.withLimits(limits.of(name), nowMs));
            List<String> reachable = new ArrayList<>();
            for (Node other : nodes) {
                if (connected(number, other.number)) {
                    reachable.add(other.id);
                }
            }
            int coordinator =
                    Integer.parseInt(coordinators.choose(reachable, nowMs).substring(1));
            String process = coordinator + "/" + nodes.get(coordinator).incarnation;
            for (QuotaReport report : reporter.due(process, gates, nodes.size(), nowMs)) {
                reports++;
                if (random.nextDouble() < reportLossFraction) {
                    continue;
                }
                send(number, coordinator, () -> nodes.get(coordinator).receive(this, report));
            }
            if (ticks % LIVENESS_TICKS == 0 || accounts.limiting()) {
                tell();
            }
        }

        void receive(Node from, QuotaReport report) {
            if (accounts.add(from.id, report, limits(), nowMs)) {
                tell();
            }
        }

        void tell() {
            int reached = (int) nodes.stream()
                    .filter(other -> connected(number, other.number))
                    .count();
            Set<String> reporters = accounts.reporters(nowMs);
            if (reporters.isEmpty() || !QuotaCoordinatorOrder.mayCoordinate(reached, nodes.size())) {
                return;
            }
            Map<String, QuotaShare> shares = accounts.tell(limits(), nowMs);
            for (String to : new TreeSet<>(reporters)) {
                answers++;
                Node receiver = nodes.get(Integer.parseInt(to.substring(1)));
                send(number, receiver.number, () -> receiver.told(id, shares));
            }
        }

        void told(String from, Map<String, QuotaShare> shares) {
            if (coordinators.heard(from, nowMs)) {
                gates.replaceAll(
                        (name, gate) -> gate.told(shares.getOrDefault(name, QuotaShare.ALL), nowMs, random::nextInt));
            }
        }
    }

    private final Random random;
    private final Map<String, Quota> quotas = new TreeMap<>();
    private final Map<String, Double> usualPerS = new TreeMap<>();
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Message> messages = new PriorityQueue<>();
    private final PriorityQueue<Message> returning = new PriorityQueue<>();
    private final Set<Integer> cut = new HashSet<>();
    private final Set<Integer> dead = new HashSet<>();
    private final Map<String, Double> factors = new HashMap<>();
    private final Map<String, Deque<Long>> admittedMs = new HashMap<>();
    private final Map<String, QuotaBucket> ideal = new HashMap<>();
    private final Map<String, Integer> owed = new HashMap<>();
    private final Map<String, Integer> admitted = new HashMap<>();
    private final Map<String, Integer> arrivals = new HashMap<>();
    private final Map<String, Integer> refusedFirst = new HashMap<>();
    private final Admission admission;
    private final int nodeCount;
    private int returned;
    private int returnedAdmitted;
    private boolean told = true;
    private double lossFraction;
    private double reportLossFraction;
    private int maxDelayMs = 40;
    private long nowMs;
    private long order;
    long reports;
    long answers;

    /** Largest excess over the agreement's bound in any window, as a fraction of the bound; negative below it. */
    double worstExcess = -1;

    /** Quotas that bind at present; a lowered one binds only after its window. */
    private final Map<String, Quota> binding = new TreeMap<>();

    QuotaFleet(int nodeCount, int organisations, long seed, Admission admission) {
        this.admission = admission;
        this.nodeCount = nodeCount;
        random = new Random(seed);
        double rest = 0;
        double[] weights = new double[organisations];
        for (int i = 1; i < organisations; i++) {
            weights[i] = 1.0 / i;
            rest += weights[i];
        }
        for (int i = 0; i < organisations; i++) {
            double perS = CALLS_PER_S * (i == 0 ? LARGEST_FRACTION : (1 - LARGEST_FRACTION) * weights[i] / rest);
            String name = "o" + i;
            usualPerS.put(name, perS);
            double rate = QUOTA_FACTOR * perS;
            quotas.put(name, new Quota(rate, (int) Math.ceil(rate)));
            ideal.put(name, new QuotaBucket(Math.ceil(rate), 0));
        }
        binding.putAll(quotas);
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new Node(i));
        }
    }

    static boolean coordinated(QuotaFleet fleet, int node, String organisation) {
        Node at = fleet.nodes.get(node);
        QuotaGate before = at.gates.get(organisation);
        at.gates.put(organisation, before.afterArrival(fleet.nowMs));
        return before.admits(fleet.nowMs);
    }

    /** Baseline: each node has a bucket with its part of the quota, and at least one call. */
    static Admission fixedShares() {
        Map<String, QuotaBucket> buckets = new HashMap<>();
        return (fleet, node, organisation) -> {
            Quota quota = fleet.quotas.get(organisation);
            int count = fleet.nodes.size();
            QuotaLimit limit = new QuotaLimit(quota.callsPerS() / count, Math.max(1, (double) quota.burst() / count));
            String key = node + "/" + organisation;
            QuotaBucket bucket = buckets.getOrDefault(key, new QuotaBucket(limit.capacity(), fleet.nowMs))
                    .refilled(limit, fleet.nowMs);
            boolean admits = bucket.level() >= 1;
            buckets.put(key, admits ? bucket.used(1) : bucket);
            return admits;
        };
    }

    /** Baseline: each node enforces the whole quota by itself. */
    static Admission withoutCoordination() {
        Map<String, QuotaBucket> buckets = new HashMap<>();
        return (fleet, node, organisation) -> {
            QuotaLimit limit = QuotaLimit.of(fleet.quotas.get(organisation), BOUNDS);
            String key = node + "/" + organisation;
            QuotaBucket bucket = buckets.getOrDefault(key, new QuotaBucket(limit.capacity(), fleet.nowMs))
                    .refilled(limit, fleet.nowMs);
            boolean admits = bucket.level() >= 1;
            buckets.put(key, admits ? bucket.used(1) : bucket);
            return admits;
        };
    }

    private QuotaLimits limits() {
        Map<String, QuotaLimit> whole = new HashMap<>();
        quotas.forEach((name, quota) -> whole.put(name, QuotaLimit.of(quota, BOUNDS)));
        return new QuotaLimits(whole, nodeCount, BOUNDS);
    }

    private boolean connected(int a, int b) {
        return !dead.contains(a) && !dead.contains(b) && (a == b || !cut.contains(a) && !cut.contains(b));
    }

    private void send(int from, int to, Runnable delivery) {
        if (from == to) {
            messages.add(new Message(nowMs, order++, to, delivery));
        } else if (connected(from, to) && random.nextDouble() >= lossFraction) {
            int delayMs = 2 + random.nextInt(maxDelayMs);
            messages.add(new Message(nowMs + delayMs, order++, to, () -> {
                if (connected(from, to)) {
                    delivery.run();
                }
            }));
        }
    }

    /** Runs the fleet. */
    void run(long ms) {
        for (long endMs = nowMs + ms; nowMs < endMs; nowMs++) {
            for (Node node : nodes) {
                if (!dead.contains(node.number) && nowMs % TICK_MS == node.phaseMs) {
                    node.tick();
                }
            }
            while (!messages.isEmpty() && messages.peek().atMs() <= nowMs) {
                Message message = messages.poll();
                if (!dead.contains(message.to())) {
                    message.delivery().run();
                }
            }
            while (!returning.isEmpty() && returning.peek().atMs() <= nowMs) {
                returning.poll().delivery().run();
            }
            usualPerS.forEach((name, perS) -> {
                double expected = perS * factors.getOrDefault(name, 1.0) / 1_000;
                for (double left = expected; random.nextDouble() < left; left -= 1) {
                    firstAttempt(name);
                }
            });
            if (nowMs % CHECK_MS == 0) {
                checkWindows();
            }
        }
    }

    private void firstAttempt(String organisation) {
        arrivals.merge(organisation, 1, Integer::sum);
        Quota quota = quotas.get(organisation);
        QuotaBucket bucket = ideal.get(organisation).refilled(new QuotaLimit(quota.callsPerS(), quota.burst()), nowMs);
        ideal.put(organisation, bucket.level() >= 1 ? bucket.used(1) : bucket);
        if (bucket.level() >= 1) {
            owed.merge(organisation, 1, Integer::sum);
        }
        arrive(new Call(organisation, 0));
    }

    private void arrive(Call call) {
        int node = random.nextInt(nodes.size());
        while (dead.contains(node)) {
            node = random.nextInt(nodes.size());
        }
        boolean admits = admission.admits(this, node, call.organisation());
        if (call.retries() > 0) {
            returned++;
            returnedAdmitted += admits ? 1 : 0;
        }
        if (admits) {
            if (random.nextDouble() < NOT_RUN_FRACTION) {
                Node at = nodes.get(node);
                at.gates.computeIfPresent(call.organisation(), (name, gate) -> gate.givenBack());
                comeBack(call, 100 + random.nextInt(400));
                return;
            }
            admitted.merge(call.organisation(), 1, Integer::sum);
            admittedMs
                    .computeIfAbsent(call.organisation(), key -> new ArrayDeque<>())
                    .addLast(nowMs);
            return;
        }
        if (call.retries() == 0) {
            refusedFirst.merge(call.organisation(), 1, Integer::sum);
        }
        QuotaGate gate = nodes.get(node).gates.get(call.organisation());
        comeBack(call, told ? gate.retryAfterMs(nowMs, random::nextInt) : UNTOLD_WAIT_MS);
    }

    private void comeBack(Call call, long afterMs) {
        if (call.retries() < MAX_RETRIES) {
            returning.add(new Message(
                    nowMs + Math.min(afterMs, 2_000),
                    order++,
                    0,
                    () -> arrive(new Call(call.organisation(), call.retries() + 1))));
        }
    }

    private void checkWindows() {
        long windowMs = BOUNDS.quotaWindow().toMillis();
        admittedMs.forEach((organisation, times) -> {
            while (!times.isEmpty() && times.peekFirst() <= nowMs - windowMs) {
                times.removeFirst();
            }
            Quota quota = binding.get(organisation);
            double bound = (quota.callsPerS() * windowMs / 1_000 + quota.burst()) * (1 + BOUNDS.quotaOverage())
                    + BOUNDS.quotaSlack();
            worstExcess = Math.max(worstExcess, times.size() / bound - 1);
        });
    }

    void setDemand(String organisation, double factor) {
        factors.put(organisation, factor);
    }

    void setDemandOfAll(double factor) {
        usualPerS.keySet().forEach(organisation -> factors.put(organisation, factor));
    }

    void setNetwork(double loss, int delayMs) {
        lossFraction = loss;
        maxDelayMs = delayMs;
    }

    /** Lets callers come back after a constant time instead of the one that they are told. */
    void withoutRetryAfter() {
        told = false;
    }

    /** Returns the fraction of the callers that came back which were then admitted. */
    double admittedOnReturn() {
        return (double) returnedAdmitted / returned;
    }

    void loseReports(double fraction) {
        reportLossFraction = fraction;
    }

    /** Lowers a quota; the earlier one stays binding until {@link #bind}. */
    void lower(String organisation, double factor) {
        Quota quota = quotas.get(organisation);
        quotas.put(organisation, new Quota(quota.callsPerS() * factor, (int) Math.ceil(quota.burst() * factor)));
    }

    void bind() {
        binding.putAll(quotas);
    }

    /** Returns the coordinator of most nodes. */
    int coordinator() {
        return nodes.stream()
                .max(Comparator.comparingInt(
                        node -> node.accounts.reporters(nowMs).size()))
                .orElseThrow()
                .number;
    }

    void kill(int... numbers) {
        Arrays.stream(numbers).forEach(dead::add);
    }

    void restart(int number) {
        dead.remove(number);
        nodes.get(number).restart();
    }

    void cut(int... numbers) {
        Arrays.stream(numbers).forEach(cut::add);
    }

    long elapsedMs() {
        return nowMs;
    }

    /** Returns calls that an exact bucket admits and this fleet did not serve, as a fraction of all it admits. */
    double wronglyRefused() {
        int missing = 0;
        int total = 0;
        for (Map.Entry<String, Integer> entry : owed.entrySet()) {
            total += entry.getValue();
            missing += Math.max(0, entry.getValue() - admitted.getOrDefault(entry.getKey(), 0));
        }
        return (double) missing / total;
    }

    /** Returns the first attempts refused of organisations other than one, as a fraction of their first attempts. */
    double refusedOfOthers(String hot) {
        int refused = 0;
        int total = 0;
        for (Map.Entry<String, Integer> entry : arrivals.entrySet()) {
            if (!entry.getKey().equals(hot)) {
                total += entry.getValue();
                refused += refusedFirst.getOrDefault(entry.getKey(), 0);
            }
        }
        return (double) refused / total;
    }
}

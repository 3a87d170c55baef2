package org.mimosahinge.bench.move;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.mimosahinge.bench.move.CallModel.CallSite;
import org.mimosahinge.bench.move.CallModel.Situation;
import org.mimosahinge.core.move.CallOutcomes;
import org.mimosahinge.core.move.CallOutcomesKey;
import org.mimosahinge.core.move.CountVector;
import org.mimosahinge.core.move.FailureKind;
import org.mimosahinge.core.move.LatencyHistogram;
import org.mimosahinge.core.move.OutcomeCounts;

/** Draws the outcomes of one service's calls, second by second. */
final class TrafficGenerator {
    static final String OLD = "v1";
    static final String NEW = "v2";

    /** Seconds until a crashed endpoint is ready again. */
    private static final int RESTART_SECONDS = 15;

    /** Seconds until a lost VM is replaced. */
    private static final int REPLACE_SECONDS = 120;

    private static final int LATENCIES = 4096;

    private final Deployment deployment;
    private final Scenario scenario;
    private final SplittableRandom random;
    private final double[] halfOctaves = new double[LATENCIES];
    private final int[] routeOf = new int[1000];
    private final int[][] downUntil;
    private long[][] failures;
    private long[][] buckets;
    private long faultyCalls;
    private long newCalls;

    TrafficGenerator(Deployment deployment, Scenario scenario, SplittableRandom random) {
        this.deployment = deployment;
        this.scenario = scenario;
        this.random = random;
        downUntil = new int[2][deployment.endpoints()];
        java.util.Random gaussian = new java.util.Random(random.nextLong());
        for (int i = 0; i < LATENCIES; i++) {
            // Log-normal with a long tail: one call in fifty takes several times as long.
            double tail = i % 50 == 0 ? 2 + 3 * gaussian.nextDouble() : 0;
            double octaves = Math.log(deployment.medianMs()) / Math.log(2) + 0.8 * gaussian.nextGaussian() + tail;
            halfOctaves[i] = 2 * octaves;
        }
        double sum = 0;
        int route = 0;
        for (int i = 0; i < routeOf.length; i++) {
            while (i >= Math.round(1000 * (sum + deployment.routeWeights().get(route)))) {
                sum += deployment.routeWeights().get(route++);
            }
            routeOf[i] = route;
        }
    }

    /** Returns calls so far that showed the new version's fault. */
    long faultyCalls() {
        return faultyCalls;
    }

    /** Returns calls of the new version in the last second. */
    long newCalls() {
        return newCalls;
    }

    /** Returns the slots that the new version's endpoints report as ready. */
    int readySlots(int second) {
        int ready = 0;
        for (int until : downUntil[1]) {
            ready += until <= second ? 1 : 0;
        }
        return (int) (ready * deployment.slots() * scenario.slotsReported());
    }

    CallOutcomes second(Situation now) {
        int cells = 2 * deployment.routeWeights().size() * deployment.zones();
        failures = new long[cells][];
        buckets = new long[cells][];
        newCalls = 0;
        if (scenario.lost().contains(now.second())) {
            crash(1, random.nextInt(deployment.endpoints()), 0, now, REPLACE_SECONDS);
        }
        if (scenario.poison().contains(now.second())) {
            // The second crash makes the mesh refuse the request.
            poison(now);
            poison(now);
        }
        Behaviour[][] behaviours = new Behaviour[2][];
        for (int calls = arrivals(); calls > 0; calls--) {
            int version = version(now);
            int endpoint = endpoint(version, now.second());
            if (endpoint < 0) {
                version = 1 - version;
                endpoint = Math.max(0, endpoint(version, now.second()));
            }
            int route = routeOf[random.nextInt(routeOf.length)];
            if (behaviours[version] == null) {
                behaviours[version] = behaviours(version, now);
            }
            call(version, endpoint, route, behaviours[version][endpoint * routes() + route], now);
        }
        return evidence();
    }

    private int arrivals() {
        double mean = deployment.callsPerSecond();
        if (mean > 30) {
            return (int) Math.max(0, Math.round(mean + Math.sqrt(mean) * normal()));
        }
        int arrivals = 0;
        for (double left = Math.exp(-mean), product = random.nextDouble(); product > left; arrivals++) {
            product *= random.nextDouble();
        }
        return arrivals;
    }

    private double normal() {
        double sum = -6;
        for (int i = 0; i < 12; i++) {
            sum += random.nextDouble();
        }
        return sum;
    }

    private int version(Situation now) {
        return random.nextInt(1000) < now.sharePermille() ? 1 : 0;
    }

    private int endpoint(int version, int second) {
        int first = random.nextInt(deployment.endpoints());
        for (int i = 0; i < deployment.endpoints(); i++) {
            int endpoint = (first + i) % deployment.endpoints();
            if (downUntil[version][endpoint] <= second) {
                return endpoint;
            }
        }
        return -1;
    }

    private Behaviour[] behaviours(int version, Situation now) {
        Behaviour[] behaviours = new Behaviour[deployment.endpoints() * routes()];
        for (int i = 0; i < behaviours.length; i++) {
            int endpoint = i / routes();
            int zone = deployment.zone(version == 1, endpoint);
            behaviours[i] = scenario.model().at(now, new CallSite(version == 1, endpoint, zone, i % routes()));
        }
        return behaviours;
    }

    private void call(int version, int endpoint, int route, Behaviour behaviour, Situation now) {
        int cell = cell(version, endpoint, route);
        newCalls += version;
        double draw = random.nextDouble();
        faultyCalls += version == 1 && draw < behaviour.faulty() ? 1 : 0;
        FailureKind failure = behaviour.failure(draw).orElse(null);
        if (failure == null) {
            succeed(cell, behaviour.latencyFactor());
        } else if (failure == FailureKind.CRASH) {
            crash(version, endpoint, route, now, RESTART_SECONDS);
        } else {
            fail(cell, failure, 1);
        }
    }

    private void succeed(int cell, double latencyFactor) {
        if (buckets[cell] == null) {
            buckets[cell] = new long[LatencyHistogram.BUCKETS];
        }
        double shift = latencyFactor == 1 ? 0 : 2 * Math.log(latencyFactor) / Math.log(2);
        int bucket = (int) (halfOctaves[random.nextInt() & (LATENCIES - 1)] + shift);
        buckets[cell][Math.max(0, Math.min(LatencyHistogram.BUCKETS - 1, bucket))]++;
    }

    private void fail(int cell, FailureKind kind, int calls) {
        if (failures[cell] == null) {
            failures[cell] = new long[FailureKind.COUNT];
        }
        failures[cell][kind.index()] += calls;
    }

    private void poison(Situation now) {
        int version = version(now);
        crash(version, Math.max(0, endpoint(version, now.second())), 0, now, RESTART_SECONDS);
    }

    /** Loses the calls in progress, about one in five slots, and takes the endpoint down. */
    private void crash(int version, int endpoint, int route, Situation now, int seconds) {
        int cell = cell(version, endpoint, route);
        fail(cell, FailureKind.CRASH, 1);
        double rate = deployment.callsPerSecond()
                * (version == 1 ? now.sharePermille() : 1000 - now.sharePermille())
                / 1000
                / deployment.endpoints();
        fail(cell, FailureKind.CRASH_COLLATERAL, (int) Math.min(deployment.slots(), rate));
        downUntil[version][endpoint] = now.second() + seconds;
    }

    private int routes() {
        return deployment.routeWeights().size();
    }

    private int cell(int version, int endpoint, int route) {
        return (version * routes() + route) * deployment.zones() + deployment.zone(version == 1, endpoint);
    }

    private CallOutcomes evidence() {
        Map<CallOutcomesKey, OutcomeCounts> tallies = new HashMap<>();
        for (int cell = 0; cell < failures.length; cell++) {
            if (failures[cell] == null && buckets[cell] == null) {
                continue;
            }
            CountVector failed =
                    failures[cell] == null ? OutcomeCounts.EMPTY.failuresByKind() : CountVector.of(failures[cell]);
            LatencyHistogram latency = buckets[cell] == null
                    ? LatencyHistogram.EMPTY
                    : new LatencyHistogram(CountVector.of(buckets[cell]));
            String version = cell >= failures.length / 2 ? NEW : OLD;
            String route = "r" + cell / deployment.zones() % routes();
            CallOutcomesKey key = new CallOutcomesKey(version, route, "z" + cell % deployment.zones());
            tallies.put(key, new OutcomeCounts(failed.sumFrom(0) + latency.total(), failed, latency));
        }
        return new CallOutcomes(tallies);
    }
}

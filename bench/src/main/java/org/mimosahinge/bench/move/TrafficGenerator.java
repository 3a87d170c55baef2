package org.mimosahinge.bench.move;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.mimosahinge.bench.move.CallModel.CallSite;
import org.mimosahinge.bench.move.CallModel.MoveProgress;
import org.mimosahinge.core.move.CallOutcomes;
import org.mimosahinge.core.move.CallOutcomesKey;
import org.mimosahinge.core.move.CountVector;
import org.mimosahinge.core.move.FailureKind;
import org.mimosahinge.core.move.LatencyHistogram;
import org.mimosahinge.core.move.OutcomeCounts;

/** Generates the outcomes of the calls of one service for each second of a move. */
final class TrafficGenerator {
    static final String OLD_VERSION = "v1";
    static final String NEW_VERSION = "v2";

    /** Seconds until a crashed endpoint is ready again. */
    private static final int RESTART_SECONDS = 15;

    /** Seconds until a failed VM is replaced. */
    private static final int MACHINE_REPLACEMENT_SECONDS = 120;

    private static final int LATENCY_SAMPLES = 4096;

    private final DeploymentModel deployment;
    private final Scenario scenario;
    private final SplittableRandom random;
    private final double[] latencyHalfOctaves = new double[LATENCY_SAMPLES];
    private final int[] routeByPermille = new int[1000];
    private final int[][] downUntilSecond;
    private long[][] failuresByCell;
    private long[][] latencyBucketsByCell;
    private long faultyCalls;
    private long newCalls;

    TrafficGenerator(DeploymentModel deployment, Scenario scenario, SplittableRandom random) {
        this.deployment = deployment;
        this.scenario = scenario;
        this.random = random;
        downUntilSecond = new int[2][deployment.endpoints()];
        java.util.Random gaussian = new java.util.Random(random.nextLong());
        for (int i = 0; i < LATENCY_SAMPLES; i++) {
            // Log-normal distribution with a long tail: one call in 50 takes several times as long.
            double tail = i % 50 == 0 ? 2 + 3 * gaussian.nextDouble() : 0;
            double octaves = Math.log(deployment.medianMs()) / Math.log(2) + 0.8 * gaussian.nextGaussian() + tail;
            latencyHalfOctaves[i] = 2 * octaves;
        }
        double sum = 0;
        int route = 0;
        for (int i = 0; i < routeByPermille.length; i++) {
            while (i >= Math.round(1000 * (sum + deployment.routeWeights().get(route)))) {
                sum += deployment.routeWeights().get(route++);
            }
            routeByPermille[i] = route;
        }
    }

    /** Returns the number of calls so far that showed the fault of the new version. */
    long faultyCalls() {
        return faultyCalls;
    }

    /** Returns the number of calls of the new version in the last generated second. */
    long newCalls() {
        return newCalls;
    }

    /** Returns the number of slots that the ready endpoints of the new version report. */
    int readySlots(int second) {
        int ready = 0;
        for (int until : downUntilSecond[1]) {
            ready += until <= second ? 1 : 0;
        }
        return (int) (ready * deployment.slots() * scenario.reportedSlotsFactor());
    }

    CallOutcomes generateSecond(MoveProgress progress) {
        int cells = 2 * deployment.routeWeights().size() * deployment.zones();
        failuresByCell = new long[cells][];
        latencyBucketsByCell = new long[cells][];
        newCalls = 0;
        if (scenario.lostMachineSeconds().contains(progress.second())) {
            crash(1, random.nextInt(deployment.endpoints()), 0, progress, MACHINE_REPLACEMENT_SECONDS);
        }
        if (scenario.poisonRequestSeconds().contains(progress.second())) {
            // After the second crash the mesh refuses the poison request, so there are two.
            runPoisonRequest(progress);
            runPoisonRequest(progress);
        }
        FaultProfile[][] profiles = new FaultProfile[2][];
        for (int calls = drawArrivals(); calls > 0; calls--) {
            int version = drawVersion(progress);
            int endpoint = drawEndpoint(version, progress.second());
            if (endpoint < 0) {
                version = 1 - version;
                endpoint = Math.max(0, drawEndpoint(version, progress.second()));
            }
            int route = routeByPermille[random.nextInt(routeByPermille.length)];
            if (profiles[version] == null) {
                profiles[version] = profiles(version, progress);
            }
            call(version, endpoint, route, profiles[version][endpoint * routeCount() + route], progress);
        }
        return outcomes();
    }

    /** Draws from a Poisson distribution, approximated by a normal distribution for means above 30. */
    private int drawArrivals() {
        double mean = deployment.callsPerSecond();
        if (mean > 30) {
            return (int) Math.max(0, Math.round(mean + Math.sqrt(mean) * drawNormal()));
        }
        int arrivals = 0;
        for (double threshold = Math.exp(-mean), product = random.nextDouble(); product > threshold; arrivals++) {
            product *= random.nextDouble();
        }
        return arrivals;
    }

    /** Draws approximately from the standard normal distribution, as 12 uniform numbers minus 6. */
    private double drawNormal() {
        double sum = -6;
        for (int i = 0; i < 12; i++) {
            sum += random.nextDouble();
        }
        return sum;
    }

    private int drawVersion(MoveProgress progress) {
        return random.nextInt(1000) < progress.sharePermille() ? 1 : 0;
    }

    private int drawEndpoint(int version, int second) {
        int first = random.nextInt(deployment.endpoints());
        for (int i = 0; i < deployment.endpoints(); i++) {
            int endpoint = (first + i) % deployment.endpoints();
            if (downUntilSecond[version][endpoint] <= second) {
                return endpoint;
            }
        }
        return -1;
    }

    private FaultProfile[] profiles(int version, MoveProgress progress) {
        FaultProfile[] profiles = new FaultProfile[deployment.endpoints() * routeCount()];
        for (int i = 0; i < profiles.length; i++) {
            int endpoint = i / routeCount();
            int zone = deployment.zone(version == 1, endpoint);
            profiles[i] =
                    scenario.model().profileAt(progress, new CallSite(version == 1, endpoint, zone, i % routeCount()));
        }
        return profiles;
    }

    private void call(int version, int endpoint, int route, FaultProfile profile, MoveProgress progress) {
        int cell = cell(version, endpoint, route);
        newCalls += version;
        double draw = random.nextDouble();
        faultyCalls += version == 1 && draw < profile.faultProbability() ? 1 : 0;
        FailureKind failure = profile.drawFailure(draw).orElse(null);
        if (failure == null) {
            recordSuccess(cell, profile.latencyFactor());
        } else if (failure == FailureKind.CRASH) {
            crash(version, endpoint, route, progress, RESTART_SECONDS);
        } else {
            recordFailures(cell, failure, 1);
        }
    }

    private void recordSuccess(int cell, double latencyFactor) {
        if (latencyBucketsByCell[cell] == null) {
            latencyBucketsByCell[cell] = new long[LatencyHistogram.BUCKETS];
        }
        double shift = latencyFactor == 1 ? 0 : 2 * Math.log(latencyFactor) / Math.log(2);
        int bucket = (int) (latencyHalfOctaves[random.nextInt() & (LATENCY_SAMPLES - 1)] + shift);
        latencyBucketsByCell[cell][Math.max(0, Math.min(LatencyHistogram.BUCKETS - 1, bucket))]++;
    }

    private void recordFailures(int cell, FailureKind kind, int calls) {
        if (failuresByCell[cell] == null) {
            failuresByCell[cell] = new long[FailureKind.COUNT];
        }
        failuresByCell[cell][kind.index()] += calls;
    }

    private void runPoisonRequest(MoveProgress progress) {
        int version = drawVersion(progress);
        crash(version, Math.max(0, drawEndpoint(version, progress.second())), 0, progress, RESTART_SECONDS);
    }

    /**
     * Records a crash and takes the endpoint down. As collateral, calls of about one second fail, at most one per slot.
     */
    private void crash(int version, int endpoint, int route, MoveProgress progress, int downSeconds) {
        int cell = cell(version, endpoint, route);
        recordFailures(cell, FailureKind.CRASH, 1);
        double rate = deployment.callsPerSecond()
                * (version == 1 ? progress.sharePermille() : 1000 - progress.sharePermille())
                / 1000
                / deployment.endpoints();
        recordFailures(cell, FailureKind.CRASH_COLLATERAL, (int) Math.min(deployment.slots(), rate));
        downUntilSecond[version][endpoint] = progress.second() + downSeconds;
    }

    private int routeCount() {
        return deployment.routeWeights().size();
    }

    private int cell(int version, int endpoint, int route) {
        return (version * routeCount() + route) * deployment.zones() + deployment.zone(version == 1, endpoint);
    }

    private CallOutcomes outcomes() {
        Map<CallOutcomesKey, OutcomeCounts> countsByKey = new HashMap<>();
        for (int cell = 0; cell < failuresByCell.length; cell++) {
            if (failuresByCell[cell] == null && latencyBucketsByCell[cell] == null) {
                continue;
            }
            CountVector failed = failuresByCell[cell] == null
                    ? OutcomeCounts.EMPTY.failuresByKind()
                    : CountVector.of(failuresByCell[cell]);
            LatencyHistogram latency = latencyBucketsByCell[cell] == null
                    ? LatencyHistogram.EMPTY
                    : new LatencyHistogram(CountVector.of(latencyBucketsByCell[cell]));
            String version = cell >= failuresByCell.length / 2 ? NEW_VERSION : OLD_VERSION;
            String route = "r" + cell / deployment.zones() % routeCount();
            CallOutcomesKey key = new CallOutcomesKey(version, route, "z" + cell % deployment.zones());
            countsByKey.put(key, new OutcomeCounts(failed.sumFrom(0) + latency.total(), failed, latency));
        }
        return new CallOutcomes(countsByKey);
    }
}

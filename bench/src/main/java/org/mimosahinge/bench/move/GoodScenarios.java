package org.mimosahinge.bench.move;

import static org.mimosahinge.bench.move.FaultyScenarios.uniform;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import org.mimosahinge.bench.move.Scenario.Kind;
import org.mimosahinge.core.move.FailureKind;

/** Kinds of scenarios in which the new version has no fault but conditions may be adverse. */
final class GoodScenarios {
    private GoodScenarios() {}

    static final List<Kind> ALL = List.of(
            new Kind(
                    "quiet",
                    Scenario.Expectation.GOOD,
                    (deployment, seconds, random) -> Scenario.of((progress, site) -> FaultProfile.NORMAL)),
            new Kind("noise", Scenario.Expectation.GOOD, (deployment, seconds, random) -> {
                IntPredicate burst = randomPeriods(random, seconds, 8, 10, 40);
                IntPredicate hiccup = randomPeriods(random, seconds, 20, 1, 3);
                int endpoint = random.nextInt(deployment.endpoints());
                boolean newVersion = random.nextBoolean();
                double rate = uniform(random, 0.02, 0.1);
                return Scenario.of((progress, site) -> {
                    FaultProfile profile = burst.test(progress.second())
                            ? FaultProfile.NORMAL
                                    .withFailure(FailureKind.SERVER_ERROR, rate)
                                    .slowedBy(1.5)
                            : FaultProfile.NORMAL;
                    return hiccup.test(progress.second())
                                    && site.endpoint() == endpoint
                                    && site.newVersion() == newVersion
                            ? profile.slowedBy(8)
                            : profile;
                });
            }),
            new Kind("cold", Scenario.Expectation.GOOD, (deployment, seconds, random) -> {
                double factor = uniform(random, 3, 8);
                double timeConstantSeconds = uniform(random, 20, 40);
                return warmingUp(factor, timeConstantSeconds);
            }),
            new Kind(
                    "slow_starter",
                    Scenario.Expectation.GOOD,
                    (deployment, seconds, random) -> warmingUp(uniform(random, 2, 4), uniform(random, 60, 150))),
            new Kind("old_noisier", Scenario.Expectation.GOOD, (deployment, seconds, random) -> {
                double rate = uniform(random, 0.02, 0.1);
                double factor = uniform(random, 1, 2);
                IntPredicate burst = randomPeriods(random, seconds, 10, 10, 60);
                return Scenario.of((progress, site) -> site.newVersion()
                        ? FaultProfile.NORMAL
                        : FaultProfile.NORMAL
                                .withFailure(FailureKind.SERVER_ERROR, burst.test(progress.second()) ? 2 * rate : rate)
                                .slowedBy(factor));
            }),
            new Kind("caller_error_bursts", Scenario.Expectation.GOOD, (deployment, seconds, random) -> {
                IntPredicate burst = randomPeriods(random, seconds, 10, 20, 120);
                double rate = uniform(random, 0.1, 0.6);
                int route = random.nextInt(deployment.routeWeights().size());
                return Scenario.of((progress, site) -> burst.test(progress.second()) && site.route() == route
                        ? FaultProfile.NORMAL.withFailure(FailureKind.CALLER_ERROR, rate)
                        : FaultProfile.NORMAL);
            }),
            new Kind("zone_trouble", Scenario.Expectation.GOOD, (deployment, seconds, random) -> {
                IntPredicate trouble = randomPeriods(random, seconds, 2, 60, 240);
                int zone = random.nextInt(deployment.zones());
                double rate = uniform(random, 0.1, 0.7);
                return Scenario.of((progress, site) -> trouble.test(progress.second()) && site.zone() == zone
                        ? FaultProfile.NORMAL
                                .withFailure(FailureKind.TIMEOUT, rate / 2)
                                .withFailure(FailureKind.CONNECTION_LOSS, rate / 2)
                                .slowedBy(3)
                        : FaultProfile.NORMAL);
            }),
            new Kind("link_trouble", Scenario.Expectation.GOOD, (deployment, seconds, random) -> {
                IntPredicate trouble = randomPeriods(random, seconds, 2, 60, 180);
                double rate = uniform(random, 0.05, 0.3);
                return Scenario.of((progress, site) -> trouble.test(progress.second()) && site.zone() >= 2
                        ? FaultProfile.NORMAL
                                .withFailure(FailureKind.TIMEOUT, rate)
                                .slowedBy(2)
                        : FaultProfile.NORMAL);
            }),
            new Kind("shedding", Scenario.Expectation.GOOD, (deployment, seconds, random) -> {
                IntPredicate peak = randomPeriods(random, seconds, 6, 30, 120);
                double rate = uniform(random, 0.05, 0.25);
                return Scenario.of((progress, site) -> peak.test(progress.second())
                        ? FaultProfile.NORMAL
                                .withFailure(FailureKind.SHED, rate)
                                .slowedBy(2)
                        : FaultProfile.NORMAL);
            }),
            new Kind("poison_request", Scenario.Expectation.GOOD, (deployment, seconds, random) -> Scenario.of(
                            (progress, site) -> FaultProfile.NORMAL)
                    .withPoisonRequests(Set.of(random.nextInt(60, seconds)))),
            new Kind("lost_machine", Scenario.Expectation.GOOD, (deployment, seconds, random) -> Scenario.of(
                            (progress, site) -> FaultProfile.NORMAL)
                    .withLostMachines(Set.of(random.nextInt(60, seconds)))),
            new Kind("wrong_slot_reports", Scenario.Expectation.GOOD, (deployment, seconds, random) -> Scenario.of(
                            (progress, site) -> FaultProfile.NORMAL)
                    .withReportedSlotsFactor(uniform(random, 0.7, 3))));

    private static Scenario warmingUp(double factor, double timeConstantSeconds) {
        return Scenario.of(CallModel.forNewVersion((progress, site) -> FaultProfile.NORMAL.slowedBy(
                1 + (factor - 1) * Math.exp(-Math.max(0, progress.secondsSinceFirstShare()) / timeConstantSeconds))));
    }

    /** Draws periods within the move and returns a predicate that tests whether a second is in one of them. */
    private static IntPredicate randomPeriods(
            SplittableRandom random, int seconds, int maxCount, int minSeconds, int maxSeconds) {
        boolean[] inPeriod = new boolean[seconds + 1];
        int count = random.nextInt(1, maxCount + 1);
        for (int i = 0; i < count; i++) {
            int fromSecond = random.nextInt(seconds);
            int toSecond = Math.min(seconds, fromSecond + random.nextInt(minSeconds, maxSeconds + 1));
            java.util.Arrays.fill(inPeriod, fromSecond, toSecond, true);
        }
        return second -> second < inPeriod.length && inPeriod[second];
    }
}

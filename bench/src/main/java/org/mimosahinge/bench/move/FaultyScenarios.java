package org.mimosahinge.bench.move;

import java.util.List;
import java.util.SplittableRandom;
import org.mimosahinge.bench.move.Scenario.Kind;
import org.mimosahinge.core.move.FailureKind;

/** Kinds of scenarios in which the new version has a fault. */
final class FaultyScenarios {
    private FaultyScenarios() {}

    static final List<Kind> ALL = List.of(
            new Kind("errors_at_once", Scenario.Expectation.IMMEDIATE_FAULT, (deployment, seconds, random) -> {
                double rate = uniform(random, 0.1, 0.6);
                return alwaysOnNewVersion(FaultProfile.NORMAL.withFault(FailureKind.SERVER_ERROR, rate));
            }),
            new Kind(
                    "every_call_fails",
                    Scenario.Expectation.IMMEDIATE_FAULT,
                    (deployment, seconds, random) ->
                            alwaysOnNewVersion(FaultProfile.NORMAL.withFault(FailureKind.SERVER_ERROR, 1))),
            new Kind("timeouts_at_once", Scenario.Expectation.IMMEDIATE_FAULT, (deployment, seconds, random) -> {
                double rate = uniform(random, 0.1, 0.5);
                return alwaysOnNewVersion(FaultProfile.NORMAL.withFault(FailureKind.TIMEOUT, rate));
            }),
            new Kind("connection_losses", Scenario.Expectation.IMMEDIATE_FAULT, (deployment, seconds, random) -> {
                double rate = uniform(random, 0.05, 0.4);
                return alwaysOnNewVersion(FaultProfile.NORMAL.withFault(FailureKind.CONNECTION_LOSS, rate));
            }),
            new Kind("crash_loop", Scenario.Expectation.IMMEDIATE_FAULT, (deployment, seconds, random) -> {
                double rate = uniform(random, 0.02, 0.3);
                return alwaysOnNewVersion(FaultProfile.NORMAL.withFault(FailureKind.CRASH, rate));
            }),
            new Kind("wrong_rejections", Scenario.Expectation.IMMEDIATE_FAULT, (deployment, seconds, random) -> {
                double rate = uniform(random, 0.15, 0.6);
                return alwaysOnNewVersion(FaultProfile.NORMAL.withFault(FailureKind.CALLER_ERROR, rate));
            }),
            new Kind("few_errors", Scenario.Expectation.GRADUAL_OR_PARTIAL_FAULT, (deployment, seconds, random) -> {
                double rate = uniform(random, 0.02, 0.05);
                return alwaysOnNewVersion(FaultProfile.NORMAL.withFault(FailureKind.SERVER_ERROR, rate));
            }),
            new Kind(
                    "errors_after_minutes",
                    Scenario.Expectation.GRADUAL_OR_PARTIAL_FAULT,
                    (deployment, seconds, random) -> {
                        double rate = uniform(random, 0.05, 0.5);
                        int afterSeconds = random.nextInt(300, Math.max(600, seconds * 2 / 3));
                        FaultProfile faulty = FaultProfile.NORMAL.withFault(FailureKind.SERVER_ERROR, rate);
                        return Scenario.of(CallModel.forNewVersion((progress, site) ->
                                progress.secondsSinceFirstShare() >= afterSeconds ? faulty : FaultProfile.NORMAL));
                    }),
            new Kind(
                    "errors_under_load",
                    Scenario.Expectation.GRADUAL_OR_PARTIAL_FAULT,
                    (deployment, seconds, random) -> {
                        double rate = uniform(random, 0.05, 0.4);
                        int minSharePermille = random.nextInt(200, 900);
                        FaultProfile faulty = FaultProfile.NORMAL.withFault(FailureKind.SERVER_ERROR, rate);
                        return Scenario.of(CallModel.forNewVersion((progress, site) ->
                                progress.sharePermille() >= minSharePermille ? faulty : FaultProfile.NORMAL));
                    }),
            new Kind(
                    "errors_on_one_route",
                    Scenario.Expectation.GRADUAL_OR_PARTIAL_FAULT,
                    (deployment, seconds, random) -> {
                        double rate = uniform(random, 0.2, 1);
                        int route = random.nextInt(deployment.routeWeights().size());
                        FaultProfile faulty = FaultProfile.NORMAL.withFault(FailureKind.SERVER_ERROR, rate);
                        return Scenario.of(CallModel.forNewVersion(
                                (progress, site) -> site.route() == route ? faulty : FaultProfile.NORMAL));
                    }),
            new Kind(
                    "errors_in_one_zone",
                    Scenario.Expectation.GRADUAL_OR_PARTIAL_FAULT,
                    (deployment, seconds, random) -> {
                        double rate = uniform(random, 0.2, 1);
                        int zone = random.nextInt(deployment.zones());
                        FaultProfile faulty = FaultProfile.NORMAL.withFault(FailureKind.SERVER_ERROR, rate);
                        return Scenario.of(CallModel.forNewVersion(
                                (progress, site) -> site.zone() == zone ? faulty : FaultProfile.NORMAL));
                    }),
            new Kind(
                    "slow_at_once",
                    Scenario.Expectation.GRADUAL_OR_PARTIAL_FAULT,
                    (deployment, seconds, random) -> alwaysOnNewVersion(FaultProfile.NORMAL
                            .slowedBy(uniform(random, 2.5, 8))
                            .withFaultProbability(1))),
            new Kind(
                    "slow_on_one_route",
                    Scenario.Expectation.GRADUAL_OR_PARTIAL_FAULT,
                    (deployment, seconds, random) -> {
                        FaultProfile faulty = FaultProfile.NORMAL
                                .slowedBy(uniform(random, 3, 10))
                                .withFaultProbability(1);
                        int route = random.nextInt(deployment.routeWeights().size());
                        return Scenario.of(CallModel.forNewVersion(
                                (progress, site) -> site.route() == route ? faulty : FaultProfile.NORMAL));
                    }),
            new Kind(
                    "slow_under_load", Scenario.Expectation.GRADUAL_OR_PARTIAL_FAULT, (deployment, seconds, random) -> {
                        FaultProfile faulty = FaultProfile.NORMAL
                                .slowedBy(uniform(random, 2.5, 6))
                                .withFaultProbability(1);
                        int minSharePermille = random.nextInt(200, 900);
                        return Scenario.of(CallModel.forNewVersion((progress, site) ->
                                progress.sharePermille() >= minSharePermille ? faulty : FaultProfile.NORMAL));
                    }),
            new Kind(
                    "slow_then_failing",
                    Scenario.Expectation.GRADUAL_OR_PARTIAL_FAULT,
                    (deployment, seconds, random) -> {
                        int fromSecond = random.nextInt(60, 600);
                        double growthPerSecond = uniform(random, 0.1, 0.5) / 60;
                        double rate = uniform(random, 0.1, 0.5);
                        return Scenario.of(CallModel.forNewVersion((progress, site) -> {
                            double factor =
                                    1 + Math.max(0, progress.secondsSinceFirstShare() - fromSecond) * growthPerSecond;
                            return factor < 6
                                    ? FaultProfile.NORMAL.slowedBy(factor).withFaultProbability(factor < 2 ? 0 : 1)
                                    : FaultProfile.NORMAL
                                            .slowedBy(6)
                                            .withFailure(FailureKind.TIMEOUT, rate)
                                            .withFaultProbability(1);
                        }));
                    }),
            new Kind("sheds_always", Scenario.Expectation.GRADUAL_OR_PARTIAL_FAULT, (deployment, seconds, random) -> {
                double rate = uniform(random, 0.2, 0.8);
                return alwaysOnNewVersion(FaultProfile.NORMAL.withFault(FailureKind.SHED, rate));
            }),
            new Kind(
                    "errors_after_the_move",
                    Scenario.Expectation.GRADUAL_OR_PARTIAL_FAULT,
                    (deployment, seconds, random) -> {
                        double rate = uniform(random, 0.1, 0.6);
                        int afterSeconds = random.nextInt(30, 1200);
                        FaultProfile faulty = FaultProfile.NORMAL.withFault(FailureKind.SERVER_ERROR, rate);
                        return Scenario.of(CallModel.forNewVersion((progress, site) ->
                                progress.secondsSinceDone() >= afterSeconds ? faulty : FaultProfile.NORMAL));
                    }),
            new Kind(
                    "errors_without_platform",
                    Scenario.Expectation.GRADUAL_OR_PARTIAL_FAULT,
                    (deployment, seconds, random) -> {
                        double rate = uniform(random, 0.1, 0.6);
                        int fromSecond = random.nextInt(120, seconds / 2);
                        FaultProfile faulty = FaultProfile.NORMAL.withFault(FailureKind.SERVER_ERROR, rate);
                        return Scenario.of(CallModel.forNewVersion((progress, site) ->
                                        progress.second() >= fromSecond ? faulty : FaultProfile.NORMAL))
                                .withPlatformAvailability(second -> second < fromSecond - 60);
                    }));

    private static Scenario alwaysOnNewVersion(FaultProfile faulty) {
        return Scenario.of(CallModel.forNewVersion((progress, site) -> faulty));
    }

    static double uniform(SplittableRandom random, double low, double high) {
        return low + random.nextDouble() * (high - low);
    }
}

package org.mimosahinge.bench.move;

import static org.mimosahinge.bench.move.FaultKinds.between;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import org.mimosahinge.bench.move.Scenario.Kind;
import org.mimosahinge.core.move.FailureKind;

/** Kinds of conditions under which a good version moves. */
final class GoodKinds {
    private GoodKinds() {}

    static final List<Kind> ALL = List.of(
            new Kind(
                    "quiet",
                    Scenario.Expectation.GOOD,
                    (deployment, seconds, random) -> Scenario.of((now, site) -> Behaviour.USUAL)),
            new Kind("noise", Scenario.Expectation.GOOD, (deployment, seconds, random) -> {
                IntPredicate burst = periods(random, seconds, 8, 10, 40);
                IntPredicate hiccup = periods(random, seconds, 20, 1, 3);
                int endpoint = random.nextInt(deployment.endpoints());
                boolean fresh = random.nextBoolean();
                double rate = between(random, 0.02, 0.1);
                return Scenario.of((now, site) -> {
                    Behaviour usual = burst.test(now.second())
                            ? Behaviour.USUAL
                                    .failing(FailureKind.SERVER_ERROR, rate)
                                    .slower(1.5)
                            : Behaviour.USUAL;
                    return hiccup.test(now.second()) && site.endpoint() == endpoint && site.fresh() == fresh
                            ? usual.slower(8)
                            : usual;
                });
            }),
            new Kind("cold", Scenario.Expectation.GOOD, (deployment, seconds, random) -> {
                double factor = between(random, 3, 8);
                double constant = between(random, 20, 40);
                return warming(factor, constant);
            }),
            new Kind(
                    "slow_starter",
                    Scenario.Expectation.GOOD,
                    (deployment, seconds, random) -> warming(between(random, 2, 4), between(random, 60, 150))),
            new Kind("old_noisier", Scenario.Expectation.GOOD, (deployment, seconds, random) -> {
                double rate = between(random, 0.02, 0.1);
                double factor = between(random, 1, 2);
                IntPredicate burst = periods(random, seconds, 10, 10, 60);
                return Scenario.of((now, site) -> site.fresh()
                        ? Behaviour.USUAL
                        : Behaviour.USUAL
                                .failing(FailureKind.SERVER_ERROR, burst.test(now.second()) ? 2 * rate : rate)
                                .slower(factor));
            }),
            new Kind("caller_error_bursts", Scenario.Expectation.GOOD, (deployment, seconds, random) -> {
                IntPredicate burst = periods(random, seconds, 10, 20, 120);
                double rate = between(random, 0.1, 0.6);
                int route = random.nextInt(deployment.routeWeights().size());
                return Scenario.of((now, site) -> burst.test(now.second()) && site.route() == route
                        ? Behaviour.USUAL.failing(FailureKind.CALLER_ERROR, rate)
                        : Behaviour.USUAL);
            }),
            new Kind("zone_trouble", Scenario.Expectation.GOOD, (deployment, seconds, random) -> {
                IntPredicate trouble = periods(random, seconds, 2, 60, 240);
                int zone = random.nextInt(deployment.zones());
                double rate = between(random, 0.1, 0.7);
                return Scenario.of((now, site) -> trouble.test(now.second()) && site.zone() == zone
                        ? Behaviour.USUAL
                                .failing(FailureKind.TIMEOUT, rate / 2)
                                .failing(FailureKind.CONNECTION_LOSS, rate / 2)
                                .slower(3)
                        : Behaviour.USUAL);
            }),
            new Kind("link_trouble", Scenario.Expectation.GOOD, (deployment, seconds, random) -> {
                IntPredicate trouble = periods(random, seconds, 2, 60, 180);
                double rate = between(random, 0.05, 0.3);
                return Scenario.of((now, site) -> trouble.test(now.second()) && site.zone() >= 2
                        ? Behaviour.USUAL.failing(FailureKind.TIMEOUT, rate).slower(2)
                        : Behaviour.USUAL);
            }),
            new Kind("shedding", Scenario.Expectation.GOOD, (deployment, seconds, random) -> {
                IntPredicate peak = periods(random, seconds, 6, 30, 120);
                double rate = between(random, 0.05, 0.25);
                return Scenario.of((now, site) -> peak.test(now.second())
                        ? Behaviour.USUAL.failing(FailureKind.SHED, rate).slower(2)
                        : Behaviour.USUAL);
            }),
            new Kind("poison_request", Scenario.Expectation.GOOD, (deployment, seconds, random) -> Scenario.of(
                            (now, site) -> Behaviour.USUAL)
                    .withPoison(Set.of(random.nextInt(60, seconds)))),
            new Kind("lost_machine", Scenario.Expectation.GOOD, (deployment, seconds, random) -> Scenario.of(
                            (now, site) -> Behaviour.USUAL)
                    .withLostMachines(Set.of(random.nextInt(60, seconds)))),
            new Kind("wrong_slot_reports", Scenario.Expectation.GOOD, (deployment, seconds, random) -> Scenario.of(
                            (now, site) -> Behaviour.USUAL)
                    .withSlotsReported(between(random, 0.7, 3))));

    private static Scenario warming(double factor, double constantSeconds) {
        return Scenario.of(CallModel.ofNew((now, site) -> Behaviour.USUAL.slower(
                1 + (factor - 1) * Math.exp(-Math.max(0, now.sinceFirstShare()) / constantSeconds))));
    }

    /** Draws some periods within the move and returns whether a second lies in one. */
    private static IntPredicate periods(SplittableRandom random, int seconds, int most, int shortest, int longest) {
        boolean[] in = new boolean[seconds + 1];
        int count = random.nextInt(1, most + 1);
        for (int i = 0; i < count; i++) {
            int from = random.nextInt(seconds);
            int to = Math.min(seconds, from + random.nextInt(shortest, longest + 1));
            java.util.Arrays.fill(in, from, to, true);
        }
        return second -> second < in.length && in[second];
    }
}

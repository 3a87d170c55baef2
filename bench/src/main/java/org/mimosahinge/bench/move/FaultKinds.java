package org.mimosahinge.bench.move;

import java.util.List;
import java.util.SplittableRandom;
import org.mimosahinge.bench.move.Scenario.Kind;
import org.mimosahinge.core.move.FailureKind;

/** Kinds of faults of a new version. */
final class FaultKinds {
    private FaultKinds() {}

    static final List<Kind> ALL = List.of(
            new Kind("errors_at_once", Scenario.Expectation.AT_ONCE, (deployment, seconds, random) -> {
                double rate = between(random, 0.1, 0.6);
                return always(Behaviour.USUAL.faulty(FailureKind.SERVER_ERROR, rate));
            }),
            new Kind(
                    "every_call_fails",
                    Scenario.Expectation.AT_ONCE,
                    (deployment, seconds, random) -> always(Behaviour.USUAL.faulty(FailureKind.SERVER_ERROR, 1))),
            new Kind("timeouts_at_once", Scenario.Expectation.AT_ONCE, (deployment, seconds, random) -> {
                double rate = between(random, 0.1, 0.5);
                return always(Behaviour.USUAL.faulty(FailureKind.TIMEOUT, rate));
            }),
            new Kind("connection_losses", Scenario.Expectation.AT_ONCE, (deployment, seconds, random) -> {
                double rate = between(random, 0.05, 0.4);
                return always(Behaviour.USUAL.faulty(FailureKind.CONNECTION_LOSS, rate));
            }),
            new Kind("crash_loop", Scenario.Expectation.AT_ONCE, (deployment, seconds, random) -> {
                double rate = between(random, 0.02, 0.3);
                return always(Behaviour.USUAL.faulty(FailureKind.CRASH, rate));
            }),
            new Kind("wrong_rejections", Scenario.Expectation.AT_ONCE, (deployment, seconds, random) -> {
                double rate = between(random, 0.15, 0.6);
                return always(Behaviour.USUAL.faulty(FailureKind.CALLER_ERROR, rate));
            }),
            new Kind("few_errors", Scenario.Expectation.BAD, (deployment, seconds, random) -> {
                double rate = between(random, 0.02, 0.05);
                return always(Behaviour.USUAL.faulty(FailureKind.SERVER_ERROR, rate));
            }),
            new Kind("errors_after_minutes", Scenario.Expectation.BAD, (deployment, seconds, random) -> {
                double rate = between(random, 0.05, 0.5);
                int after = random.nextInt(300, Math.max(600, seconds * 2 / 3));
                Behaviour bad = Behaviour.USUAL.faulty(FailureKind.SERVER_ERROR, rate);
                return Scenario.of(
                        CallModel.ofNew((now, site) -> now.sinceFirstShare() >= after ? bad : Behaviour.USUAL));
            }),
            new Kind("errors_under_load", Scenario.Expectation.BAD, (deployment, seconds, random) -> {
                double rate = between(random, 0.05, 0.4);
                int share = random.nextInt(200, 900);
                Behaviour bad = Behaviour.USUAL.faulty(FailureKind.SERVER_ERROR, rate);
                return Scenario.of(
                        CallModel.ofNew((now, site) -> now.sharePermille() >= share ? bad : Behaviour.USUAL));
            }),
            new Kind("errors_on_one_route", Scenario.Expectation.BAD, (deployment, seconds, random) -> {
                double rate = between(random, 0.2, 1);
                int route = random.nextInt(deployment.routeWeights().size());
                Behaviour bad = Behaviour.USUAL.faulty(FailureKind.SERVER_ERROR, rate);
                return Scenario.of(CallModel.ofNew((now, site) -> site.route() == route ? bad : Behaviour.USUAL));
            }),
            new Kind("errors_in_one_zone", Scenario.Expectation.BAD, (deployment, seconds, random) -> {
                double rate = between(random, 0.2, 1);
                int zone = random.nextInt(deployment.zones());
                Behaviour bad = Behaviour.USUAL.faulty(FailureKind.SERVER_ERROR, rate);
                return Scenario.of(CallModel.ofNew((now, site) -> site.zone() == zone ? bad : Behaviour.USUAL));
            }),
            new Kind(
                    "slow_at_once",
                    Scenario.Expectation.BAD,
                    (deployment, seconds, random) -> always(
                            Behaviour.USUAL.slower(between(random, 2.5, 8)).showing(1))),
            new Kind("slow_on_one_route", Scenario.Expectation.BAD, (deployment, seconds, random) -> {
                Behaviour bad = Behaviour.USUAL.slower(between(random, 3, 10)).showing(1);
                int route = random.nextInt(deployment.routeWeights().size());
                return Scenario.of(CallModel.ofNew((now, site) -> site.route() == route ? bad : Behaviour.USUAL));
            }),
            new Kind("slow_under_load", Scenario.Expectation.BAD, (deployment, seconds, random) -> {
                Behaviour bad = Behaviour.USUAL.slower(between(random, 2.5, 6)).showing(1);
                int share = random.nextInt(200, 900);
                return Scenario.of(
                        CallModel.ofNew((now, site) -> now.sharePermille() >= share ? bad : Behaviour.USUAL));
            }),
            new Kind("slow_then_failing", Scenario.Expectation.BAD, (deployment, seconds, random) -> {
                int from = random.nextInt(60, 600);
                double growth = between(random, 0.1, 0.5) / 60;
                double rate = between(random, 0.1, 0.5);
                return Scenario.of(CallModel.ofNew((now, site) -> {
                    double factor = 1 + Math.max(0, now.sinceFirstShare() - from) * growth;
                    return factor < 6
                            ? Behaviour.USUAL.slower(factor).showing(factor < 2 ? 0 : 1)
                            : Behaviour.USUAL
                                    .slower(6)
                                    .failing(FailureKind.TIMEOUT, rate)
                                    .showing(1);
                }));
            }),
            new Kind("sheds_always", Scenario.Expectation.BAD, (deployment, seconds, random) -> {
                double rate = between(random, 0.2, 0.8);
                return always(Behaviour.USUAL.faulty(FailureKind.SHED, rate));
            }),
            new Kind("errors_after_the_move", Scenario.Expectation.BAD, (deployment, seconds, random) -> {
                double rate = between(random, 0.1, 0.6);
                int after = random.nextInt(30, 1200);
                Behaviour bad = Behaviour.USUAL.faulty(FailureKind.SERVER_ERROR, rate);
                return Scenario.of(CallModel.ofNew((now, site) -> now.sinceDone() >= after ? bad : Behaviour.USUAL));
            }),
            new Kind("errors_without_platform", Scenario.Expectation.BAD, (deployment, seconds, random) -> {
                double rate = between(random, 0.1, 0.6);
                int from = random.nextInt(120, seconds / 2);
                Behaviour bad = Behaviour.USUAL.faulty(FailureKind.SERVER_ERROR, rate);
                return Scenario.of(CallModel.ofNew((now, site) -> now.second() >= from ? bad : Behaviour.USUAL))
                        .withPlatform(second -> second < from - 60);
            }));

    private static Scenario always(Behaviour bad) {
        return Scenario.of(CallModel.ofNew((now, site) -> bad));
    }

    static double between(SplittableRandom random, double low, double high) {
        return low + random.nextDouble() * (high - low);
    }
}

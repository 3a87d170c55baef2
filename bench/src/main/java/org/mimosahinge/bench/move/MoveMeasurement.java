package org.mimosahinge.bench.move;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.mimosahinge.bench.move.MoveRun.Result;
import org.mimosahinge.bench.move.Scenario.Kind;

/** Prints the {@code moves} lines of the measurements. */
public final class MoveMeasurement {
    /** Seeds of each kind with {@code --full}. */
    private static final int FULL_SEEDS = 200;

    /** Seeds by default, so that a run ends within a minute on a busy machine of ten cores. */
    private static final int SEEDS = 10;

    /** Most seeds of a baseline; baselines differ from the policy by far more than the spread of so few runs. */
    private static final int BASELINE_SEEDS = 20;

    private MoveMeasurement() {}

    /**
     * Measures and prints.
     *
     * @param args optionally {@code --full}, {@code --seeds=N}, {@code --kind=NAME}, {@code --deployment=NAME} and {@code --failures},
     *     which prints each run of the standard policy that ended otherwise than wanted
     */
    public static void main(String[] args) {
        int seeds = Integer.parseInt(
                option(args, "seeds", Integer.toString(List.of(args).contains("--full") ? FULL_SEEDS : SEEDS)));
        String onlyKind = option(args, "kind", "");
        String onlyDeployment = option(args, "deployment", "");
        boolean failures = List.of(args).contains("--failures");
        List<Kind> kinds = Stream.concat(FaultKinds.ALL.stream(), GoodKinds.ALL.stream())
                .filter(kind -> onlyKind.isEmpty() || kind.name().equals(onlyKind))
                .toList();
        for (Deployment deployment : Deployment.ALL) {
            if (!onlyDeployment.isEmpty() && !deployment.name().equals(onlyDeployment)) {
                continue;
            }
            List<Outcome> standard = outcomes(Contestant.STANDARD, deployment, kinds, seeds);
            if (failures) {
                standard.stream()
                        .filter(outcome -> !outcome.wanted())
                        .forEach(outcome -> System.out.println("failure deployment=" + deployment.name() + " kind="
                                + outcome.kind().name() + " seed=" + outcome.seed() + " " + outcome.result()));
                continue;
            }
            printKinds(deployment, standard, kinds);
            for (Contestant baseline : Contestant.BASELINES) {
                printSummary(
                        deployment,
                        standard,
                        baseline.name(),
                        outcomes(baseline, deployment, kinds, Math.min((seeds + 1) / 2, BASELINE_SEEDS)));
            }
        }
    }

    private record Outcome(Kind kind, long seed, Result result) {
        boolean wanted() {
            return kind.good() ? result.doneInTime() && !result.takenBack() : result.takenBack() || !result.shown();
        }
    }

    private static List<Outcome> outcomes(Contestant contestant, Deployment deployment, List<Kind> kinds, int seeds) {
        return kinds.stream()
                .flatMap(kind -> LongStream.rangeClosed(1, seeds).mapToObj(seed -> new Object[] {kind, seed}))
                .toList()
                .parallelStream()
                .map(job -> {
                    Kind kind = (Kind) job[0];
                    long seed = (Long) job[1];
                    return new Outcome(kind, seed, MoveRun.run(contestant, deployment, kind, seed));
                })
                .toList();
    }

    private static void printKinds(Deployment deployment, List<Outcome> outcomes, List<Kind> kinds) {
        for (Kind kind : kinds) {
            Predicate<Outcome> of = outcome -> outcome.kind().equals(kind);
            String name = deployment.name() + "." + kind.name();
            if (kind.good()) {
                line(name + ".good_in_time", share(outcomes, of, o -> o.result().doneInTime()), "share", "");
                line(
                        name + ".false_take_back",
                        share(outcomes, of, o -> o.result().takenBack()),
                        "share",
                        "");
            } else {
                Predicate<Outcome> shown = of.and(outcome -> outcome.result().shown());
                line(
                        name + ".bad_taken_back",
                        share(outcomes, shown, o -> o.result().takenBack()),
                        "share",
                        "");
                line(name + ".bad_shown", share(outcomes, of, o -> o.result().shown()), "share", "");
                line(name + ".bad_calls.p99", p99(outcomes, of, o -> o.result().badShare()), "share", "");
                line(name + ".stop.p99", p99(outcomes, shown, o -> o.result().stopSeconds()), "s", "");
            }
        }
    }

    private static void printSummary(
            Deployment deployment, List<Outcome> outcomes, String baseline, List<Outcome> baselineOutcomes) {
        Predicate<Outcome> good = outcome -> outcome.kind().good();
        Predicate<Outcome> bad =
                outcome -> !outcome.kind().good() && outcome.result().shown();
        Predicate<Outcome> atOnce = outcome -> outcome.kind().expectation() == Scenario.Expectation.AT_ONCE;
        compare(
                deployment,
                "good_in_time",
                "share",
                outcomes,
                baseline,
                baselineOutcomes,
                list -> share(list, good, o -> o.result().doneInTime()));
        compare(
                deployment,
                "false_take_back",
                "share",
                outcomes,
                baseline,
                baselineOutcomes,
                list -> share(list, good, o -> o.result().takenBack()));
        compare(
                deployment,
                "bad_taken_back",
                "share",
                outcomes,
                baseline,
                baselineOutcomes,
                list -> share(list, bad, o -> o.result().takenBack()));
        compare(
                deployment,
                "at_once.bad_calls.p99",
                "share",
                outcomes,
                baseline,
                baselineOutcomes,
                list -> p99(list, atOnce, o -> o.result().badShare()));
        compare(
                deployment,
                "stop.p99",
                "s",
                outcomes,
                baseline,
                baselineOutcomes,
                list -> p99(list, bad, o -> o.result().stopSeconds()));
    }

    private static void compare(
            Deployment deployment,
            String name,
            String unit,
            List<Outcome> outcomes,
            String baseline,
            List<Outcome> baselineOutcomes,
            ToDoubleFunction<List<Outcome>> figure) {
        String versus = String.format(
                Locale.ROOT, " baseline=%s baseline_value=%.4f", baseline, figure.applyAsDouble(baselineOutcomes));
        line(deployment.name() + "." + name, figure.applyAsDouble(outcomes), unit, versus);
    }

    private static double share(List<Outcome> outcomes, Predicate<Outcome> of, Predicate<Outcome> counted) {
        return outcomes.stream()
                .filter(of)
                .mapToDouble(outcome -> counted.test(outcome) ? 1 : 0)
                .average()
                .orElse(Double.NaN);
    }

    private static double p99(List<Outcome> outcomes, Predicate<Outcome> of, ToDoubleFunction<Outcome> figure) {
        List<Double> sorted = new ArrayList<>(outcomes.stream()
                .filter(of)
                .mapToDouble(figure)
                .sorted()
                .boxed()
                .toList());
        return sorted.isEmpty() ? Double.NaN : sorted.get((int) Math.ceil(0.99 * sorted.size()) - 1);
    }

    private static void line(String name, double value, String unit, String baseline) {
        System.out.println(String.format(
                Locale.ROOT,
                "measure name=moves.%s value=%.4f unit=%s%s command=\"bin/measure moves\"",
                name,
                value,
                unit,
                baseline));
    }

    private static String option(String[] args, String name, String fallback) {
        String prefix = "--" + name + "=";
        return Stream.of(args)
                .filter(arg -> arg.startsWith(prefix))
                .map(arg -> arg.substring(prefix.length()))
                .findFirst()
                .orElse(fallback);
    }
}

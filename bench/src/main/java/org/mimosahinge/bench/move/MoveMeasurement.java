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

/** Measures move policies in all scenarios and prints the {@code moves} lines. */
public final class MoveMeasurement {
    /** Seeds per kind of scenario with {@code --full}. */
    private static final int FULL_SEEDS = 200;

    /** Seeds per kind by default, so that a run takes at most a minute on a busy machine with ten cores. */
    private static final int DEFAULT_SEEDS = 10;

    /** Limit of the seeds of a baseline; the difference to the policy is far above the spread of so few runs. */
    private static final int MAX_BASELINE_SEEDS = 20;

    private MoveMeasurement() {}

    /**
     * Runs the measurement and prints the results.
     *
     * @param args optionally {@code --full}, {@code --seeds=N}, {@code --kind=NAME}, {@code --deployment=NAME} and {@code --failures},
     *     which prints only the runs of the standard policy that did not end as expected
     */
    public static void main(String[] args) {
        int seeds = Integer.parseInt(
                option(args, "seeds", Integer.toString(List.of(args).contains("--full") ? FULL_SEEDS : DEFAULT_SEEDS)));
        String onlyKind = option(args, "kind", "");
        String onlyDeployment = option(args, "deployment", "");
        boolean printFailures = List.of(args).contains("--failures");
        List<Kind> kinds = Stream.concat(FaultyScenarios.ALL.stream(), GoodScenarios.ALL.stream())
                .filter(kind -> onlyKind.isEmpty() || kind.name().equals(onlyKind))
                .toList();
        for (DeploymentModel deployment : DeploymentModel.ALL) {
            if (!onlyDeployment.isEmpty() && !deployment.name().equals(onlyDeployment)) {
                continue;
            }
            List<Outcome> standardOutcomes = runAll(PolicyVariant.STANDARD, deployment, kinds, seeds);
            if (printFailures) {
                standardOutcomes.stream()
                        .filter(outcome -> !outcome.isAsExpected())
                        .forEach(outcome -> System.out.println("failure deployment=" + deployment.name() + " kind="
                                + outcome.kind().name() + " seed=" + outcome.seed() + " " + outcome.result()));
                continue;
            }
            printKinds(deployment, standardOutcomes, kinds);
            for (PolicyVariant baseline : PolicyVariant.BASELINES) {
                printSummary(
                        deployment,
                        standardOutcomes,
                        baseline.name(),
                        runAll(baseline, deployment, kinds, Math.min((seeds + 1) / 2, MAX_BASELINE_SEEDS)));
            }
        }
    }

    private record Outcome(Kind kind, long seed, Result result) {
        boolean isAsExpected() {
            return kind.good()
                    ? result.doneInTime() && !result.isTakenBack()
                    : result.isTakenBack() || !result.isFaultShown();
        }
    }

    private static List<Outcome> runAll(
            PolicyVariant variant, DeploymentModel deployment, List<Kind> kinds, int seeds) {
        return kinds.stream()
                .flatMap(kind -> LongStream.rangeClosed(1, seeds).mapToObj(seed -> new Object[] {kind, seed}))
                .toList()
                .parallelStream()
                .map(job -> {
                    Kind kind = (Kind) job[0];
                    long seed = (Long) job[1];
                    return new Outcome(kind, seed, MoveRun.run(variant, deployment, kind, seed));
                })
                .toList();
    }

    private static void printKinds(DeploymentModel deployment, List<Outcome> outcomes, List<Kind> kinds) {
        for (Kind kind : kinds) {
            Predicate<Outcome> ofKind = outcome -> outcome.kind().equals(kind);
            String name = deployment.name() + "." + kind.name();
            if (kind.good()) {
                printLine(
                        name + ".good_in_time",
                        fraction(outcomes, ofKind, o -> o.result().doneInTime()),
                        "share",
                        "");
                printLine(
                        name + ".false_take_back",
                        fraction(outcomes, ofKind, o -> o.result().isTakenBack()),
                        "share",
                        "");
            } else {
                Predicate<Outcome> shown =
                        ofKind.and(outcome -> outcome.result().isFaultShown());
                printLine(
                        name + ".bad_taken_back",
                        fraction(outcomes, shown, o -> o.result().isTakenBack()),
                        "share",
                        "");
                printLine(
                        name + ".bad_shown",
                        fraction(outcomes, ofKind, o -> o.result().isFaultShown()),
                        "share",
                        "");
                printLine(
                        name + ".bad_calls.p99",
                        p99(outcomes, ofKind, o -> o.result().badShare()),
                        "share",
                        "");
                printLine(
                        name + ".stop.p99", p99(outcomes, shown, o -> o.result().stopSeconds()), "s", "");
            }
        }
    }

    private static void printSummary(
            DeploymentModel deployment, List<Outcome> outcomes, String baseline, List<Outcome> baselineOutcomes) {
        Predicate<Outcome> good = outcome -> outcome.kind().good();
        Predicate<Outcome> bad =
                outcome -> !outcome.kind().good() && outcome.result().isFaultShown();
        Predicate<Outcome> atOnce = outcome -> outcome.kind().expectation() == Scenario.Expectation.IMMEDIATE_FAULT;
        printComparison(
                deployment,
                "good_in_time",
                "share",
                outcomes,
                baseline,
                baselineOutcomes,
                list -> fraction(list, good, o -> o.result().doneInTime()));
        printComparison(
                deployment,
                "false_take_back",
                "share",
                outcomes,
                baseline,
                baselineOutcomes,
                list -> fraction(list, good, o -> o.result().isTakenBack()));
        printComparison(
                deployment,
                "bad_taken_back",
                "share",
                outcomes,
                baseline,
                baselineOutcomes,
                list -> fraction(list, bad, o -> o.result().isTakenBack()));
        printComparison(
                deployment,
                "at_once.bad_calls.p99",
                "share",
                outcomes,
                baseline,
                baselineOutcomes,
                list -> p99(list, atOnce, o -> o.result().badShare()));
        printComparison(
                deployment,
                "stop.p99",
                "s",
                outcomes,
                baseline,
                baselineOutcomes,
                list -> p99(list, bad, o -> o.result().stopSeconds()));
    }

    private static void printComparison(
            DeploymentModel deployment,
            String name,
            String unit,
            List<Outcome> outcomes,
            String baseline,
            List<Outcome> baselineOutcomes,
            ToDoubleFunction<List<Outcome>> statistic) {
        String baselineText = String.format(
                Locale.ROOT, " baseline=%s baseline_value=%.4f", baseline, statistic.applyAsDouble(baselineOutcomes));
        printLine(deployment.name() + "." + name, statistic.applyAsDouble(outcomes), unit, baselineText);
    }

    private static double fraction(List<Outcome> outcomes, Predicate<Outcome> selected, Predicate<Outcome> counted) {
        return outcomes.stream()
                .filter(selected)
                .mapToDouble(outcome -> counted.test(outcome) ? 1 : 0)
                .average()
                .orElse(Double.NaN);
    }

    private static double p99(List<Outcome> outcomes, Predicate<Outcome> selected, ToDoubleFunction<Outcome> value) {
        List<Double> sorted = new ArrayList<>(outcomes.stream()
                .filter(selected)
                .mapToDouble(value)
                .sorted()
                .boxed()
                .toList());
        return sorted.isEmpty() ? Double.NaN : sorted.get((int) Math.ceil(0.99 * sorted.size()) - 1);
    }

    private static void printLine(String name, double value, String unit, String baselineText) {
        System.out.println(String.format(
                Locale.ROOT,
                "measure name=moves.%s value=%.4f unit=%s%s command=\"bin/measure moves\"",
                name,
                value,
                unit,
                baselineText));
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

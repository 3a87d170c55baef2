package org.mimosahinge.bench.calls;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import java.util.logging.Level;
import org.mimosahinge.bench.Figures;
import org.mimosahinge.bench.Http;
import org.mimosahinge.core.retry.RetryPolicy;
import org.mimosahinge.core.routing.EndpointChoosers;
import org.mimosahinge.core.routing.RandomSource;
import org.mimosahinge.daemon.traffic.TrafficPolicies;
import org.mimosahinge.net.log.KeyValueFormatter;

/**
 * Measures calls under faults against round robin without retries and naive retries.
 *
 * <p>Nodes, backend servers and the platform are stand-ins or traffic planes in one process; calls between them use
 * real sockets.
 */
public final class CallsMeasurement {

    private static final Duration DEFAULT_TIME = Duration.ofMillis(2_000);
    private static final Duration FULL_TIME = Duration.ofSeconds(20);
    private static final Duration WARM_UP = Duration.ofMillis(2_000);

    /** Calls that open the connections of a new mesh and are not counted. */
    private static final Duration FIRST_CALLS = Duration.ofMillis(250);

    private static final int NORMAL_RATE = 200;

    /** Four endpoints give 600 calls/s to all classes and another 200 to internal checks. */
    private static final int DOUBLE_RATE = 1_600;

    private static final long NEVER = Long.MAX_VALUE;

    private static final List<CallScenario> SCENARIOS = List.of(
            new CallScenario("quiet", NORMAL_RATE, NEVER, (mesh, load) -> {}),
            new CallScenario("kill", NORMAL_RATE, 1_000, (mesh, load) -> mesh.killOne()),
            new CallScenario("table_away", NORMAL_RATE, NEVER, (mesh, load) -> mesh.takeTableAway()),
            new CallScenario("overload", DOUBLE_RATE, NEVER, (mesh, load) -> {}),
            new CallScenario("silent", NORMAL_RATE, 1_000, (mesh, load) -> mesh.freezeLinks()),
            new CallScenario("poison", NORMAL_RATE, 250, (mesh, load) -> load.poison()));

    private static final Map<String, Supplier<TrafficPolicies>> BASELINES = baselines();

    private CallsMeasurement() {}

    private static Map<String, Supplier<TrafficPolicies>> baselines() {
        Map<String, Supplier<TrafficPolicies>> baselines = new LinkedHashMap<>();
        baselines.put("round_robin", () -> policies(RetryPolicy.none()));
        baselines.put("naive_retries", () -> policies(RetryPolicy.naive()));
        return baselines;
    }

    private static TrafficPolicies policies(RetryPolicy retry) {
        return new TrafficPolicies(EndpointChoosers.roundRobin(), retry, seeded());
    }

    /** Each traffic thread draws from the same sequence in turn; the class is thread-safe. */
    private static RandomSource seeded() {
        return new Random(1)::nextInt;
    }

    /**
     * Runs the measurement alone.
     *
     * @param arguments {@code --full} for longer runs
     */
    public static void main(String[] arguments) {
        KeyValueFormatter.install(Level.SEVERE);
        run(List.of(arguments).contains("--full"), Figures.to(System.out, "bin/measure calls"));
    }

    /**
     * Runs all scenarios.
     *
     * @param full whether runs are long
     * @param figures receives the results
     */
    public static void run(boolean full, Figures figures) {
        Duration time = full ? FULL_TIME : DEFAULT_TIME;
        Supplier<TrafficPolicies> standard =
                () -> new TrafficPolicies(EndpointChoosers.standard(), RetryPolicy.standard(), seeded());
        try (Http http = CallLoad.client()) {
            measure(SCENARIOS.get(0), standard.get(), WARM_UP, http);
            for (CallScenario scenario : SCENARIOS) {
                CallFigures own = measure(scenario, standard.get(), time, http);
                BASELINES.forEach((name, policies) ->
                        print(figures, scenario.name(), own, name, measure(scenario, policies.get(), time, http)));
            }
        }
    }

    private static CallFigures measure(CallScenario scenario, TrafficPolicies policies, Duration time, Http http) {
        try (CallMesh mesh = CallMesh.start(policies)) {
            CallLoad load = new CallLoad(mesh, http);
            load.run("warm-up", NORMAL_RATE, FIRST_CALLS, () -> {});
            long[] next = {System.nanoTime()};
            List<CallResult> results = load.run("call", scenario.callsPerSecond(), time, () -> {
                if (System.nanoTime() - next[0] >= 0) {
                    scenario.fault().accept(mesh, load);
                    next[0] = scenario.everyMs() == NEVER
                            ? System.nanoTime() + Long.MAX_VALUE / 2
                            : next[0] + Duration.ofMillis(scenario.everyMs()).toNanos();
                }
            });
            Map<String, Integer> runs = mesh.stop();
            return CallFigures.of(results, runs);
        }
    }

    private static void print(Figures figures, String scenario, CallFigures own, String baseline, CallFigures other) {
        Printer printer = (name, unit, value) -> figures.print(
                new Figures.Figure("calls." + scenario + "." + name, value.applyAsDouble(own), unit),
                baseline,
                value.applyAsDouble(other));
        printer.print("answered", "share", CallFigures::answered);
        printer.print("idempotent_answered", "share", CallFigures::idempotentAnswered);
        printer.print("p99", "ms", CallFigures::p99Ms);
        printer.print("internal_check.p99", "ms", CallFigures::checkP99Ms);
        printer.print("runs_per_call", "runs", CallFigures::load);
        printer.print("run_twice", "calls", CallFigures::runTwice);
        printer.print("false_not_run", "calls", CallFigures::falseNotRun);
        printer.print("cut", "calls", CallFigures::cut);
        printer.print("crossed", "calls", CallFigures::crossed);
    }

    private interface Printer {
        void print(String name, String unit, ToDoubleFunction<CallFigures> value);
    }
}

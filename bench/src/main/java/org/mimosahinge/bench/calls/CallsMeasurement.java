package org.mimosahinge.bench.calls;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import java.util.logging.Level;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.Region;
import org.mimosahinge.bench.BenchHttpClient;
import org.mimosahinge.bench.MeasurementPrinter;
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

    private static final Duration DEFAULT_TIME = Duration.ofMillis(1_500);
    private static final int FULL_FACTOR = 10;

    /** Calls that open the connections of a new mesh and are not counted. */
    private static final Duration FIRST_CALLS = Duration.ofMillis(250);

    private static final int NORMAL_RATE = 200;

    /** Four endpoints give 600 calls/s to all classes and another 200 to internal checks. */
    private static final int DOUBLE_RATE = 1_600;

    private static final Duration ONCE = Duration.ofDays(1);
    private static final Duration SECOND = Duration.ofSeconds(1);

    private static final AvailabilityZone NEAR = new AvailabilityZone("a", new Region("west"));
    private static final AvailabilityZone FAR = new AvailabilityZone("b", new Region("east"));

    private static final CallScenario WARM_UP = scenario("warm_up", DOUBLE_RATE, ONCE, (mesh, load) -> {});

    private static final List<CallScenario> SCENARIOS = List.of(
            scenario("quiet", NORMAL_RATE, ONCE, (mesh, load) -> {}),
            scenario("kill", NORMAL_RATE, SECOND, (mesh, load) -> mesh.killOne()),
            scenario("table_away", NORMAL_RATE, ONCE, (mesh, load) -> mesh.takeTableAway()),
            scenario("overload", DOUBLE_RATE, ONCE, (mesh, load) -> {}),
            scenario("silent", NORMAL_RATE, SECOND, (mesh, load) -> mesh.freezeLinks()),
            scenario("poison", NORMAL_RATE, Duration.ofMillis(250), (mesh, load) -> load.poison()),
            new CallScenario(
                    "rolling_restart",
                    NORMAL_RATE,
                    Duration.ofMillis(4_400),
                    Duration.ofMillis(1_100),
                    NEAR,
                    (mesh, load) -> mesh.restartNext()));

    /** These end before membership removes what failed, so short runs show little of them. */
    private static final List<CallScenario> FULL_ONLY = List.of(
            scenario("half_zone", NORMAL_RATE, ONCE, (mesh, load) -> mesh.killOtherZone()),
            new CallScenario("link_cut", NORMAL_RATE, DEFAULT_TIME, ONCE, FAR, (mesh, load) -> mesh.cutOtherZone()));

    private static final Map<String, Supplier<TrafficPolicies>> BASELINES = baselines();

    private CallsMeasurement() {}

    private static CallScenario scenario(String name, int rate, Duration every, BiConsumer<CallMesh, CallLoad> fault) {
        return new CallScenario(name, rate, DEFAULT_TIME, every, NEAR, fault);
    }

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
        run(List.of(arguments).contains("--full"), MeasurementPrinter.to(System.out, "bin/measure calls"));
    }

    /**
     * Runs all scenarios.
     *
     * @param full whether runs are long
     * @param figures receives the results
     */
    public static void run(boolean full, MeasurementPrinter figures) {
        List<CallScenario> scenarios = new ArrayList<>(SCENARIOS);
        if (full) {
            scenarios.addAll(FULL_ONLY);
        }
        int factor = full ? FULL_FACTOR : 1;
        Supplier<TrafficPolicies> standard =
                () -> new TrafficPolicies(EndpointChoosers.standard(), RetryPolicy.standard(), seeded());
        try (BenchHttpClient http = CallLoad.client()) {
            // The first run at a high rate would otherwise measure the compilation of the code.
            measure(WARM_UP, standard.get(), 1, http);
            for (CallScenario scenario : scenarios) {
                CallFigures own = measure(scenario, standard.get(), factor, http);
                BASELINES.forEach((name, policies) ->
                        print(figures, scenario.name(), own, name, measure(scenario, policies.get(), factor, http)));
            }
        }
    }

    private static CallFigures measure(
            CallScenario scenario, TrafficPolicies policies, int factor, BenchHttpClient http) {
        try (CallMesh mesh = CallMesh.start(policies, scenario.otherZone())) {
            CallLoad load = new CallLoad(mesh, http);
            load.run("warm-up", NORMAL_RATE, FIRST_CALLS, () -> {});
            long[] next = {System.nanoTime()};
            List<CallResult> results =
                    load.run("call", scenario.callsPerSecond(), scenario.time().multipliedBy(factor), () -> {
                        if (System.nanoTime() - next[0] >= 0) {
                            scenario.fault().accept(mesh, load);
                            next[0] += scenario.every().toNanos();
                        }
                    });
            Map<String, Integer> runs = mesh.stop();
            return CallFigures.of(results, runs);
        }
    }

    private static void print(
            MeasurementPrinter figures, String scenario, CallFigures own, String baseline, CallFigures other) {
        Printer printer = (name, unit, value) -> figures.print(
                new MeasurementPrinter.MeasuredValue("calls." + scenario + "." + name, value.applyAsDouble(own), unit),
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

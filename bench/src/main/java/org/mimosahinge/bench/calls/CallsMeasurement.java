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
 * Measures calls under injected faults and compares the standard policies with two baselines: round robin without
 * retries, and round robin with naive retries.
 *
 * <p>The traffic planes and the stand-ins of backend servers and platform run in one process; calls between them use
 * real sockets.
 */
public final class CallsMeasurement {

    private static final Duration DEFAULT_DURATION = Duration.ofMillis(1_500);
    private static final int FULL_FACTOR = 10;

    /** Time for calls that open the connections of a new mesh; they are not counted. */
    private static final Duration CONNECTION_WARM_UP = Duration.ofMillis(250);

    private static final int NORMAL_CALLS_PER_SECOND = 200;

    /** Four endpoints serve 600 calls/s of all classes and another 200 calls/s of internal checks. */
    private static final int OVERLOAD_CALLS_PER_SECOND = 1_600;

    private static final Duration SINGLE_FAULT = Duration.ofDays(1);
    private static final Duration EVERY_SECOND = Duration.ofSeconds(1);

    private static final AvailabilityZone SAME_REGION_ZONE = new AvailabilityZone("a", new Region("west"));
    private static final AvailabilityZone OTHER_REGION_ZONE = new AvailabilityZone("b", new Region("east"));

    private static final CallScenario WARM_UP_SCENARIO =
            scenario("warm_up", OVERLOAD_CALLS_PER_SECOND, SINGLE_FAULT, (mesh, load) -> {});

    private static final List<CallScenario> SCENARIOS = List.of(
            scenario("quiet", NORMAL_CALLS_PER_SECOND, SINGLE_FAULT, (mesh, load) -> {}),
            scenario("kill", NORMAL_CALLS_PER_SECOND, EVERY_SECOND, (mesh, load) -> mesh.killOldestBackend()),
            scenario("table_away", NORMAL_CALLS_PER_SECOND, SINGLE_FAULT, (mesh, load) -> mesh.stopTableService()),
            scenario("overload", OVERLOAD_CALLS_PER_SECOND, SINGLE_FAULT, (mesh, load) -> {}),
            scenario("silent", NORMAL_CALLS_PER_SECOND, EVERY_SECOND, (mesh, load) -> mesh.freezePeerConnections()),
            scenario(
                    "poison",
                    NORMAL_CALLS_PER_SECOND,
                    Duration.ofMillis(250),
                    (mesh, load) -> load.sendPoisonRequest()),
            new CallScenario(
                    "rolling_restart",
                    NORMAL_CALLS_PER_SECOND,
                    Duration.ofMillis(4_400),
                    Duration.ofMillis(1_100),
                    SAME_REGION_ZONE,
                    (mesh, load) -> mesh.restartNextNode()));

    /** Short runs end before membership removes the failed nodes and show little of these faults. */
    private static final List<CallScenario> FULL_ONLY_SCENARIOS = List.of(
            scenario("half_zone", NORMAL_CALLS_PER_SECOND, SINGLE_FAULT, (mesh, load) -> mesh.killSecondZone()),
            new CallScenario(
                    "link_cut",
                    NORMAL_CALLS_PER_SECOND,
                    DEFAULT_DURATION,
                    SINGLE_FAULT,
                    OTHER_REGION_ZONE,
                    (mesh, load) -> mesh.isolateSecondZone()));

    private static final Map<String, Supplier<TrafficPolicies>> BASELINES = baselines();

    private CallsMeasurement() {}

    private static CallScenario scenario(
            String name, int callsPerSecond, Duration faultInterval, BiConsumer<CallMesh, CallLoad> faultInjection) {
        return new CallScenario(
                name, callsPerSecond, DEFAULT_DURATION, faultInterval, SAME_REGION_ZONE, faultInjection);
    }

    private static Map<String, Supplier<TrafficPolicies>> baselines() {
        Map<String, Supplier<TrafficPolicies>> baselines = new LinkedHashMap<>();
        baselines.put("round_robin", () -> policies(RetryPolicy.none()));
        baselines.put("naive_retries", () -> policies(RetryPolicy.naive()));
        return baselines;
    }

    private static TrafficPolicies policies(RetryPolicy retry) {
        return new TrafficPolicies(EndpointChoosers.roundRobin(), retry, seededRandom());
    }

    /** Returns a random source that all traffic threads share; {@link Random} is thread-safe. */
    private static RandomSource seededRandom() {
        return new Random(1)::nextInt;
    }

    /**
     * Runs only this measurement.
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
     * @param full whether runs are ten times as long and include all scenarios
     * @param printer prints the results
     */
    public static void run(boolean full, MeasurementPrinter printer) {
        List<CallScenario> scenarios = new ArrayList<>(SCENARIOS);
        if (full) {
            scenarios.addAll(FULL_ONLY_SCENARIOS);
        }
        int durationFactor = full ? FULL_FACTOR : 1;
        Supplier<TrafficPolicies> standard =
                () -> new TrafficPolicies(EndpointChoosers.standard(), RetryPolicy.standard(), seededRandom());
        try (BenchHttpClient http = CallLoad.createClient()) {
            // Without this run the first run at a high rate would include the time of just-in-time compilation.
            measure(WARM_UP_SCENARIO, standard.get(), 1, http);
            for (CallScenario scenario : scenarios) {
                CallStatistics standardStatistics = measure(scenario, standard.get(), durationFactor, http);
                BASELINES.forEach((name, policies) -> print(
                        printer,
                        scenario.name(),
                        standardStatistics,
                        name,
                        measure(scenario, policies.get(), durationFactor, http)));
            }
        }
    }

    private static CallStatistics measure(
            CallScenario scenario, TrafficPolicies policies, int durationFactor, BenchHttpClient http) {
        try (CallMesh mesh = CallMesh.start(policies, scenario.secondZone())) {
            CallLoad load = new CallLoad(mesh, http);
            load.run("warm-up", NORMAL_CALLS_PER_SECOND, CONNECTION_WARM_UP, () -> {});
            long[] nextFaultNanos = {System.nanoTime()};
            List<CallResult> results = load.run(
                    "call", scenario.callsPerSecond(), scenario.duration().multipliedBy(durationFactor), () -> {
                        if (System.nanoTime() - nextFaultNanos[0] >= 0) {
                            scenario.faultInjection().accept(mesh, load);
                            nextFaultNanos[0] += scenario.faultInterval().toNanos();
                        }
                    });
            Map<String, Integer> runsByKey = mesh.stopBackends();
            return CallStatistics.of(results, runsByKey);
        }
    }

    private static void print(
            MeasurementPrinter printer,
            String scenario,
            CallStatistics standardStatistics,
            String baseline,
            CallStatistics baselineStatistics) {
        ValuePrinter valuePrinter = (name, unit, value) -> printer.print(
                new MeasurementPrinter.MeasuredValue(
                        "calls." + scenario + "." + name, value.applyAsDouble(standardStatistics), unit),
                baseline,
                value.applyAsDouble(baselineStatistics));
        valuePrinter.print("answered", "share", CallStatistics::successFraction);
        valuePrinter.print("idempotent_answered", "share", CallStatistics::idempotentSuccessFraction);
        valuePrinter.print("p99", "ms", CallStatistics::p99Ms);
        valuePrinter.print("internal_check.p99", "ms", CallStatistics::internalCheckP99Ms);
        valuePrinter.print("runs_per_call", "runs", CallStatistics::runsPerCall);
        valuePrinter.print("run_twice", "calls", CallStatistics::runTwice);
        valuePrinter.print("false_not_run", "calls", CallStatistics::falseNotRun);
        valuePrinter.print("cut", "calls", CallStatistics::incomplete);
        valuePrinter.print("crossed", "calls", CallStatistics::mismatched);
    }

    private interface ValuePrinter {
        void print(String name, String unit, ToDoubleFunction<CallStatistics> value);
    }
}

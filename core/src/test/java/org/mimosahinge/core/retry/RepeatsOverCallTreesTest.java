package org.mimosahinge.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.contract.ServiceLimits;
import org.mimosahinge.core.retry.CallTreeModel.Choice;

/**
 * Guards against a service that gets more repeats than its budget because each node counts its own retries only: a
 * repeat of a call also repeats all calls that its run makes.
 */
class RepeatsOverCallTreesTest {

    private static final CallTreeModel.Accounting WITH_INHERITED = RunningRepeats::repeatPermille;

    /** Baseline: a call made by a repeat counts as a first attempt. */
    private static final CallTreeModel.Accounting OWN_RETRIES_ONLY = running -> 0;

    /** The service that is called by others refuses half of its calls at all endpoints. */
    private static CallTreeModel.Scenario refusingServiceBelow(int callsPerSecond, int depth) {
        List<CallTreeModel.ServiceShape> services = new ArrayList<>();
        for (int i = 0; i < depth; i++) {
            boolean last = i == depth - 1;
            services.add(new CallTreeModel.ServiceShape(
                    5, last ? 5 : 0, 0.55, 0, 40, last ? List.of() : List.of(i + 1, i + 1), true));
        }
        return new CallTreeModel.Scenario(services, callsPerSecond, 1, 12_000, 20_500, 32_000);
    }

    /** One of two endpoints refuses all calls, so many runs are repeats; the service below refuses some calls. */
    private static CallTreeModel.Scenario repeatsRunOnly(int callsPerSecond, boolean together) {
        return new CallTreeModel.Scenario(
                List.of(
                        new CallTreeModel.ServiceShape(2, 1, 1, 0, 40, List.of(1, 1), together),
                        new CallTreeModel.ServiceShape(5, 5, 0.3, 0, 40, List.of(), together)),
                callsPerSecond,
                0,
                12_000,
                60_000,
                60_000);
    }

    @ParameterizedTest(name = "{0} calls a second, {1} services, seed {2}")
    @CsvSource({"370, 2, 1", "370, 2, 2", "370, 2, 3", "150, 3, 1", "150, 3, 2", "80, 4, 1", "80, 4, 2"})
    void repeatsOfRefusingServiceStayWithinBudget(int callsPerSecond, int depth, long seed) {
        CallTreeModel.Scenario scenario = refusingServiceBelow(callsPerSecond, depth);
        double excess = new CallTreeModel(scenario, WITH_INHERITED, Choice.uniform(), seed).largestExcess();
        assertTrue(excess <= 0, "repeats over the budget: " + excess);
        double baseline = new CallTreeModel(scenario, OWN_RETRIES_ONLY, Choice.uniform(), seed).largestExcess();
        assertTrue(baseline > 0, "the load does not show the fault: " + baseline);
    }

    @ParameterizedTest(name = "{0} calls a second, together {1}, all first attempts refused {2}, seed {3}")
    @CsvSource({
        "100, true, false, 1",
        "100, false, false, 2",
        "200, true, false, 1",
        "400, true, false, 1",
        "400, false, false, 1",
        "400, true, true, 1",
        "400, false, true, 1"
    })
    void repeatsDoNotFloodTheServiceBelowWhenFirstAttemptsDoNotRun(
            int callsPerSecond, boolean together, boolean allFirstAttemptsRefused, long seed) {
        Choice choice = allFirstAttemptsRefused ? Choice.alwaysFirst() : Choice.uniform();
        CallTreeModel.Scenario scenario = repeatsRunOnly(callsPerSecond, together);
        double excess = new CallTreeModel(scenario, WITH_INHERITED, choice, seed).largestExcess();
        assertTrue(excess <= 0, "repeats over the budget: " + excess);
        double baseline = new CallTreeModel(scenario, OWN_RETRIES_ONLY, choice, seed).largestExcess();
        assertTrue(baseline > 0, "the load does not show the fault: " + baseline);
    }

    @Property(tries = 60, seed = "11")
    void repeatsStayWithinBudgetInAnyCallTree(
            @ForAll @IntRange(min = 1, max = 4) int depth,
            @ForAll @IntRange(min = 1, max = 60) int callsPerSecond,
            @ForAll long seed) {
        Random random = new Random(seed);
        List<CallTreeModel.ServiceShape> services = new ArrayList<>();
        for (int i = 0; i < depth; i++) {
            List<Integer> children = new ArrayList<>();
            for (int child = i + 1; child < depth && children.size() < 3; child++) {
                if (child == i + 1 || random.nextBoolean()) {
                    children.add(child);
                }
            }
            int endpoints = 2 + random.nextInt(4);
            services.add(new CallTreeModel.ServiceShape(
                    endpoints,
                    random.nextInt(endpoints + 1),
                    random.nextDouble(),
                    random.nextBoolean() ? 0 : 0.6 * random.nextDouble(),
                    5 + random.nextInt(100),
                    children,
                    random.nextBoolean()));
        }
        CallTreeModel.Scenario scenario = new CallTreeModel.Scenario(
                services,
                callsPerSecond,
                random.nextInt(3),
                5_000 + random.nextInt(5_000),
                15_000 + random.nextInt(15_000),
                30_000);
        double excess = new CallTreeModel(scenario, WITH_INHERITED, Choice.uniform(), seed).largestExcess();
        assertTrue(excess <= 0, "repeats over the budget: " + excess + " in " + scenario);
    }

    @ParameterizedTest(name = "{0} changes")
    @ValueSource(ints = {1, 10, 100})
    void changedLimitsHandOutNoRetries(int changes) {
        RetryBudgets budgets = new RetryBudgets();
        int retries = 0;
        for (int i = 0; i < changes; i++) {
            Service service =
                    new Service("s", List.of("v1"), "v1", Optional.empty(), new ServiceLimits(64, 12, 2 + i % 2));
            budgets.attempted(service, 0, i);
            while (budgets.of(service).allowsRetry()) {
                budgets.retried(service);
                retries++;
            }
        }
        assertTrue(retries <= 1 + changes * 12 / 100, retries + " retries of " + changes + " calls");
    }

    @ParameterizedTest(name = "{0} of {1} running calls are repeats: {2}")
    @CsvSource({"0, 0, 0", "0, 4, 0", "1, 4, 250", "4, 4, 1000"})
    void innerCallInheritsTheShareOfRepeats(int repeats, int running, int permille) {
        RunningRepeats calls = new RunningRepeats();
        for (int i = 0; i < running + 3; i++) {
            calls.started(i < repeats ? RunningRepeats.CERTAIN_PERMILLE : 0);
        }
        for (int i = 0; i < 3; i++) {
            calls.ended(0);
        }
        assertEquals(permille, calls.repeatPermille());
    }

    @ParameterizedTest(name = "{0} ms after the last inherited repeat: {1}")
    @CsvSource({"0, true", "9999, true", "10001, false"})
    void overdraftHoldsRepeatsBackForOneWindow(long ms, boolean overdrawn) {
        RetryBudgets budgets = new RetryBudgets();
        Service service = new Service("s", List.of("v1"), "v1", Optional.empty(), new ServiceLimits(64, 12, 2));
        for (int i = 0; i < 4; i++) {
            budgets.attempted(service, RunningRepeats.CERTAIN_PERMILLE, 0);
        }
        assertEquals(overdrawn, budgets.isOverdrawn(ms));
    }
}

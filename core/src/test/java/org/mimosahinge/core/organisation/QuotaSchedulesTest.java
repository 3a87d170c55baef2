package org.mimosahinge.core.organisation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against quotas that are exceeded over all nodes together, and against refusals of what is below a quota. */
class QuotaSchedulesTest {

    private static final int CALM_MS = 8_000;
    private static final int JUMP_MS = 6_000;
    private static final double JUMP_FACTOR = 9;

    /** Well below the share of refusals that would show in what callers get. */
    private static final double MAX_WRONGLY_REFUSED = 0.01;

    /** Mean time between answers to a node, which are regular each 200 ms while an organisation is limited. */
    private static final long MIN_MEAN_ANSWER_MS = 150;

    private static final String LARGEST = "o0";
    private static final String SECOND = "o1";
    private static final String SMALLEST = "o81";

    /** A load with faults. */
    private record Schedule(String name, String hot, double maxRefusedOfOthers, Consumer<QuotaFleet> run) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static Schedule schedule(String name, String hot, double maxRefusedOfOthers, Consumer<QuotaFleet> run) {
        return new Schedule(name, hot, maxRefusedOfOthers, run);
    }

    private static void jump(QuotaFleet fleet, String hot, Runnable fault, int faultAfterMs) {
        fleet.run(CALM_MS);
        fleet.setDemand(hot, JUMP_FACTOR);
        fleet.run(faultAfterMs);
        fault.run();
        fleet.run(JUMP_MS - faultAfterMs);
        fleet.setDemand(hot, 1);
        fleet.run(CALM_MS);
    }

    private static Stream<Schedule> schedules() {
        return Stream.of(
                schedule("calm", "", 0.01, fleet -> fleet.run(3 * CALM_MS)),
                schedule("largest jumps", LARGEST, 0.01, fleet -> jump(fleet, LARGEST, () -> {}, 0)),
                schedule("second jumps", SECOND, 0.01, fleet -> jump(fleet, SECOND, () -> {}, 0)),
                schedule("smallest jumps", SMALLEST, 0.01, fleet -> jump(fleet, SMALLEST, () -> {}, 0)),
                schedule("all just below their quotas", "", 0.05, fleet -> {
                    fleet.run(CALM_MS);
                    fleet.setDemandOfAll(0.94 * QuotaFleet.QUOTA_FACTOR);
                    fleet.run(2 * CALM_MS);
                }),
                schedule("all at twice their quotas", "", 1, fleet -> {
                    fleet.run(CALM_MS);
                    fleet.setDemandOfAll(2 * QuotaFleet.QUOTA_FACTOR);
                    fleet.run(2 * CALM_MS);
                }),
                schedule(
                        "coordinator killed at the jump",
                        LARGEST,
                        0.01,
                        fleet -> jump(fleet, LARGEST, () -> fleet.kill(fleet.coordinator()), 50)),
                schedule(
                        "coordinator killed while limited",
                        LARGEST,
                        0.01,
                        fleet -> jump(fleet, LARGEST, () -> fleet.kill(fleet.coordinator()), 2_000)),
                schedule("coordinator killed and restarted", LARGEST, 0.01, fleet -> {
                    int[] killed = new int[1];
                    jump(
                            fleet,
                            LARGEST,
                            () -> {
                                killed[0] = fleet.coordinator();
                                fleet.kill(killed[0]);
                                fleet.run(1_000);
                                fleet.restart(killed[0]);
                            },
                            1_000);
                }),
                schedule("node cut off", LARGEST, 0.03, fleet -> jump(fleet, LARGEST, () -> fleet.cut(3), 1_000)),
                schedule(
                        "coordinator cut off",
                        LARGEST,
                        0.03,
                        fleet -> jump(fleet, LARGEST, () -> fleet.cut(fleet.coordinator()), 1_000)),
                schedule("node restarted", LARGEST, 0.01, fleet -> jump(fleet, LARGEST, () -> fleet.restart(3), 3_000)),
                schedule("limit lowered", LARGEST, 0.01, fleet -> {
                    fleet.run(CALM_MS);
                    fleet.lower(LARGEST, 0.3);
                    fleet.run(CALM_MS);
                    fleet.bind();
                    fleet.run(CALM_MS);
                }),
                schedule("a fifth of the reports lost", LARGEST, 0.01, fleet -> {
                    fleet.loseReports(0.2);
                    jump(fleet, LARGEST, () -> {}, 0);
                }),
                schedule("a twentieth of all messages lost", LARGEST, 0.01, fleet -> {
                    fleet.setNetwork(0.05, 40);
                    jump(fleet, LARGEST, () -> {}, 0);
                }),
                schedule("late messages", LARGEST, 0.01, fleet -> {
                    fleet.setNetwork(0, 200);
                    jump(fleet, LARGEST, () -> {}, 0);
                }));
    }

    private static Stream<Arguments> fleets() {
        return schedules().flatMap(schedule -> IntStream.of(14, 80).mapToObj(nodes -> Arguments.of(schedule, nodes)));
    }

    @ParameterizedTest(name = "{0}, {1} nodes")
    @MethodSource("fleets")
    void quotaHoldsAndLittleBelowItIsRefused(Schedule schedule, int nodes) {
        QuotaFleet fleet = new QuotaFleet(nodes, 82, 7, QuotaFleet::coordinated);
        schedule.run().accept(fleet);
        String figures = schedule.name() + " nodes=" + nodes + figures(fleet, schedule.hot());
        assertTrue(fleet.worstExcess <= 0, figures);
        assertTrue(fleet.answers <= fleet.elapsedMs() * nodes / MIN_MEAN_ANSWER_MS, figures);
        assertTrue(fleet.wronglyRefused() <= MAX_WRONGLY_REFUSED, figures);
        assertTrue(fleet.refusedOfOthers(schedule.hot()) <= schedule.maxRefusedOfOthers(), figures);
    }

    private static String figures(QuotaFleet fleet, String hot) {
        return String.format(
                " excess=%.3f wrongly=%.4f others=%.4f reports=%d answers=%d",
                fleet.worstExcess, fleet.wronglyRefused(), fleet.refusedOfOthers(hot), fleet.reports, fleet.answers);
    }

    private static double admittedOnReturn(int jumpMs, Consumer<QuotaFleet> callers) {
        QuotaFleet fleet = new QuotaFleet(80, 82, 7, QuotaFleet::coordinated);
        callers.accept(fleet);
        fleet.run(CALM_MS);
        fleet.setDemand(LARGEST, JUMP_FACTOR);
        fleet.run(jumpMs);
        fleet.setDemand(LARGEST, 1);
        fleet.run(CALM_MS);
        return fleet.admittedOnReturn();
    }

    // A wait that does not come true costs the caller its few retries. Baseline: callers that are told no wait.
    @ParameterizedTest
    @ValueSource(ints = {500, 1_000})
    void refusedCallersAreAdmittedMoreOftenAfterTheAnnouncedWait(int jumpMs) {
        double told = admittedOnReturn(jumpMs, fleet -> {});
        double untold = admittedOnReturn(jumpMs, QuotaFleet::withoutRetryAfter);
        String figures = "admitted on return " + told + ", without the wait " + untold;
        assertTrue(told > untold, figures);
        assertTrue(told >= 0.5, figures);
    }

    private static Stream<Schedule> jumps() {
        return schedules().filter(schedule -> schedule.name().endsWith("jumps"));
    }

    // Baseline: small organisations have less than one call for each node.
    @ParameterizedTest
    @MethodSource("jumps")
    void fixedSharesRefuseWhatIsBelowTheQuota(Schedule schedule) {
        QuotaFleet fleet = new QuotaFleet(80, 82, 7, QuotaFleet.fixedShares());
        schedule.run().accept(fleet);
        assertTrue(fleet.refusedOfOthers(schedule.hot()) > 0.2, figures(fleet, schedule.hot()));
        assertTrue(fleet.wronglyRefused() > MAX_WRONGLY_REFUSED, figures(fleet, schedule.hot()));
    }

    // Baseline: nodes that only know their own calls.
    @ParameterizedTest
    @MethodSource("jumps")
    void nodesWithoutCoordinationExceedTheQuota(Schedule schedule) {
        QuotaFleet fleet = new QuotaFleet(80, 82, 7, QuotaFleet.withoutCoordination());
        schedule.run().accept(fleet);
        assertTrue(fleet.worstExcess > 0.5, figures(fleet, schedule.hot()));
    }
}

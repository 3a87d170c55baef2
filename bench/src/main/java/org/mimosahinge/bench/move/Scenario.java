package org.mimosahinge.bench.move;

import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;

/**
 * One condition of a move with its figures drawn.
 *
 * @param model how calls end
 * @param reportedSlotsFactor factor on the slots that the new version's endpoints report
 * @param platformAvailable whether the platform works, by second
 * @param poisonRequestSeconds seconds at which a caller sends a poison request
 * @param lostMachineSeconds seconds at which a VM of the new version fails
 */
record Scenario(
        CallModel model,
        double reportedSlotsFactor,
        IntPredicate platformAvailable,
        Set<Integer> poisonRequestSeconds,
        Set<Integer> lostMachineSeconds) {
    static Scenario of(CallModel model) {
        return new Scenario(model, 1, second -> true, Set.of(), Set.of());
    }

    Scenario withReportedSlotsFactor(double factor) {
        return new Scenario(model, factor, platformAvailable, poisonRequestSeconds, lostMachineSeconds);
    }

    Scenario withPlatformAvailability(IntPredicate available) {
        return new Scenario(model, reportedSlotsFactor, available, poisonRequestSeconds, lostMachineSeconds);
    }

    Scenario withPoisonRequests(Set<Integer> seconds) {
        return new Scenario(model, reportedSlotsFactor, platformAvailable, seconds, lostMachineSeconds);
    }

    Scenario withLostMachines(Set<Integer> seconds) {
        return new Scenario(model, reportedSlotsFactor, platformAvailable, poisonRequestSeconds, seconds);
    }

    /** Draws a scenario of one kind for a deployment. */
    @FunctionalInterface
    interface Generator {
        Scenario generate(DeploymentModel deployment, int seconds, SplittableRandom random);
    }

    /** What a kind of scenario is expected to end in. */
    enum Expectation {
        /** A good version; it should be done in time. */
        GOOD,
        /** A fault that shows with the first calls. */
        IMMEDIATE_FAULT,
        /** A fault that shows later, on a part of the calls, or only in latency. */
        GRADUAL_OR_PARTIAL_FAULT
    }

    /**
     * A kind of scenario.
     *
     * @param name name in the printed lines
     * @param expectation the expected end
     * @param generator draws the figures
     */
    record Kind(String name, Expectation expectation, Generator generator) {
        boolean good() {
            return expectation == Expectation.GOOD;
        }
    }
}

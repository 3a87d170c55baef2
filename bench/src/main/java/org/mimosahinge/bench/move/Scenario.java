package org.mimosahinge.bench.move;

import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;

/**
 * The conditions of one simulated move, with all random parameters drawn.
 *
 * @param model how calls end
 * @param reportedSlotsFactor factor on the number of slots that endpoints of the new version report
 * @param platformAvailable whether the platform is available in a second of the move
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

    /** Generates a scenario of one kind for a deployment and a length of the move. */
    @FunctionalInterface
    interface Generator {
        Scenario generate(DeploymentModel deployment, int seconds, SplittableRandom random);
    }

    /** The expected result of a kind of scenario. */
    enum Expectation {
        /** The version has no fault; the move should be done by its deadline. */
        GOOD,
        /** The fault shows in the first calls; the version should be taken back. */
        IMMEDIATE_FAULT,
        /** The fault shows later, in some of the calls, or only in latency; the version should be taken back. */
        GRADUAL_OR_PARTIAL_FAULT
    }

    /**
     * A kind of scenario.
     *
     * @param name name in the printed lines
     * @param expectation the expected result
     * @param generator draws the parameters of a scenario
     */
    record Kind(String name, Expectation expectation, Generator generator) {
        boolean good() {
            return expectation == Expectation.GOOD;
        }
    }
}

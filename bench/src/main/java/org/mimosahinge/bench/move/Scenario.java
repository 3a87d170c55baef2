package org.mimosahinge.bench.move;

import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;

/**
 * One condition of a move with its figures drawn.
 *
 * @param model how calls end
 * @param slotsReported factor on the slots that the new version's endpoints report
 * @param platformAvailable whether the platform works, by second
 * @param poison seconds at which a caller sends a poison request
 * @param lost seconds at which a VM of the new version fails
 */
record Scenario(
        CallModel model, double slotsReported, IntPredicate platformAvailable, Set<Integer> poison, Set<Integer> lost) {
    static Scenario of(CallModel model) {
        return new Scenario(model, 1, second -> true, Set.of(), Set.of());
    }

    Scenario withSlotsReported(double factor) {
        return new Scenario(model, factor, platformAvailable, poison, lost);
    }

    Scenario withPlatform(IntPredicate available) {
        return new Scenario(model, slotsReported, available, poison, lost);
    }

    Scenario withPoison(Set<Integer> seconds) {
        return new Scenario(model, slotsReported, platformAvailable, seconds, lost);
    }

    Scenario withLostMachines(Set<Integer> seconds) {
        return new Scenario(model, slotsReported, platformAvailable, poison, seconds);
    }

    /** Draws a scenario of one kind for a deployment. */
    @FunctionalInterface
    interface Draw {
        Scenario draw(Deployment deployment, int seconds, SplittableRandom random);
    }

    /** What a kind of scenario is expected to end in. */
    enum Expectation {
        /** A good version; it should be done in time. */
        GOOD,
        /** A fault that shows with the first calls. */
        AT_ONCE,
        /** A fault that shows later, on a part of the calls, or only in latency. */
        BAD
    }

    /**
     * A kind of scenario.
     *
     * @param name name in the printed lines
     * @param expectation the expected end
     * @param draw draws the figures
     */
    record Kind(String name, Expectation expectation, Draw draw) {
        boolean good() {
            return expectation == Expectation.GOOD;
        }
    }
}

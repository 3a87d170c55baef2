package org.mimosahinge.bench.overload;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.contract.CallClass;

/** Guards against decisions that serve fewer callers in time than baselines, or the urgent ones less than others. */
class OverloadTest {

    private static final int SEEDS = 3;

    /** Differences below this are noise of three seeds. */
    private static final double NOISE = 0.02;

    private static double timely(Contestant contestant, Load load, CallClass callClass) {
        return Overload.timely(contestant, load, callClass, SEEDS, Overload.SETTLED);
    }

    @ParameterizedTest(name = "{0} times what the slots carry")
    @CsvSource({"1.0", "1.3", "2.0"})
    void lastingOverloadServesMoreInTimeThanBaselines(double factor) {
        Load load = Load.lasting(factor);
        double product = timely(Contestant.product(), load, CallClass.INTERACTIVE);
        double forgetful = timely(Contestant.forgetful(), load, CallClass.INTERACTIVE);
        double roundRobin = timely(Contestant.roundRobin(), load, CallClass.INTERACTIVE);
        assertTrue(product >= forgetful - NOISE, product + " against " + forgetful);
        assertTrue(product >= roundRobin - NOISE, product + " against " + roundRobin);
    }

    @ParameterizedTest(name = "{0} times what the slots carry, one endpoint {1} times slower")
    @CsvSource({"0.7, 1", "1.3, 1", "2.0, 1", "1.0, 5"})
    void theUrgentClassIsServedFirst(double factor, double slow) {
        Load load = new Load(factor, factor, slow);
        double urgent = timely(Contestant.product(), load, CallClass.CONFIRMATION);
        double other = timely(Contestant.product(), load, CallClass.INTERACTIVE);
        assertTrue(urgent >= other - NOISE, urgent + " against " + other);
    }

    @ParameterizedTest(name = "two seconds after a burst of {0} times what the slots carry")
    @CsvSource({"1.5", "2.0", "3.0"})
    void goodputComesBackAfterABurst(double burst) {
        double before = timely(Contestant.product(), Load.lasting(0.7), CallClass.INTERACTIVE);
        double after = Overload.timely(
                Contestant.product(), Load.burst(0.7, burst), CallClass.INTERACTIVE, SEEDS, Overload.AFTER_BURST);
        assertTrue(after >= before - NOISE, after + " against " + before);
    }
}

package org.mimosahinge.bench.overload;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.contract.CallClass;

/** Guards against policies that serve fewer callers in time than the baselines, or urgent callers worse than others. */
class OverloadTest {

    private static final int SEEDS = 3;

    /** Differences below this are noise with three seeds. */
    private static final double TOLERANCE = 0.02;

    private static double inTimeFraction(AdmissionVariant variant, Load load, CallClass callClass) {
        return Overload.inTimeFraction(variant, load, callClass, SEEDS, Overload.AFTER_WARM_UP);
    }

    @ParameterizedTest(name = "{0} times the capacity")
    @CsvSource({"1.0", "1.3", "2.0"})
    void servesAtLeastAsManyInTimeAsBaselines(double factor) {
        Load load = Load.constant(factor);
        double product = inTimeFraction(AdmissionVariant.product(), load, CallClass.INTERACTIVE);
        double withoutHistory = inTimeFraction(AdmissionVariant.withoutHistory(), load, CallClass.INTERACTIVE);
        double roundRobin = inTimeFraction(AdmissionVariant.roundRobin(), load, CallClass.INTERACTIVE);
        assertTrue(product >= withoutHistory - TOLERANCE, product + " against " + withoutHistory);
        assertTrue(product >= roundRobin - TOLERANCE, product + " against " + roundRobin);
    }

    @ParameterizedTest(name = "{0} times the capacity, one endpoint {1} times slower")
    @CsvSource({"0.7, 1", "1.3, 1", "2.0, 1", "1.0, 5"})
    void servesUrgentClassFirst(double factor, double slowFactor) {
        Load load = new Load(factor, factor, slowFactor);
        double urgent = inTimeFraction(AdmissionVariant.product(), load, CallClass.CONFIRMATION);
        double other = inTimeFraction(AdmissionVariant.product(), load, CallClass.INTERACTIVE);
        assertTrue(urgent >= other - TOLERANCE, urgent + " against " + other);
    }

    @ParameterizedTest(name = "two seconds after a burst of {0} times the capacity")
    @CsvSource({"1.5", "2.0", "3.0"})
    void goodputRecoversAfterBurst(double burst) {
        double before = inTimeFraction(AdmissionVariant.product(), Load.constant(0.7), CallClass.INTERACTIVE);
        double after = Overload.inTimeFraction(
                AdmissionVariant.product(), Load.burst(0.7, burst), CallClass.INTERACTIVE, SEEDS, Overload.AFTER_BURST);
        assertTrue(after >= before - TOLERANCE, after + " against " + before);
    }
}

package org.mimosahinge.bench.overload;

/**
 * Load of a run.
 *
 * @param factor rate of first calls as a multiple of the capacity of the slots
 * @param burstFactor the same during the burst, from 2 to 5 s after the start of the measured time
 * @param slowFactor factor by which the first endpoint is slower than normal
 */
record Load(double factor, double burstFactor, double slowFactor) {

    /** Start of the burst in milliseconds from the start of the run. */
    static final double BURST_START_MS = 4_000;

    /** End of the burst in milliseconds from the start of the run. */
    static final double BURST_END_MS = 7_000;

    static Load constant(double factor) {
        return new Load(factor, factor, 1);
    }

    static Load withSlowEndpoint(double factor) {
        return new Load(factor, factor, 5);
    }

    static Load burst(double factor, double burstFactor) {
        return new Load(factor, burstFactor, 1);
    }

    double factorAt(double timeMs) {
        return timeMs >= BURST_START_MS && timeMs < BURST_END_MS ? burstFactor : factor;
    }
}

package org.mimosahinge.bench;

/** A measurement that {@link Measure} runs by name. */
@FunctionalInterface
public interface Measurement {

    /**
     * Runs the measurement.
     *
     * @param full whether it may take longer than a minute
     * @param printer prints the results
     */
    void run(boolean full, MeasurementPrinter printer);
}

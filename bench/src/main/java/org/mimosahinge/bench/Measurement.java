package org.mimosahinge.bench;

/** One entry of the table of {@link Measure}. */
@FunctionalInterface
public interface Measurement {

    /**
     * Runs the measurement.
     *
     * @param full whether it may take longer than a minute
     * @param printer receives the results
     */
    void run(boolean full, MeasurementPrinter printer);
}

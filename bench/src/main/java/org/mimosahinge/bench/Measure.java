package org.mimosahinge.bench;

import java.io.PrintStream;
import java.util.Map;
import java.util.TreeMap;
import org.mimosahinge.bench.calls.CallsMeasurement;
import org.mimosahinge.bench.control.CapacityMeasurement;
import org.mimosahinge.bench.control.ConvergenceMeasurement;
import org.mimosahinge.bench.control.LinkTrafficMeasurement;
import org.mimosahinge.bench.footprint.Footprint;
import org.mimosahinge.bench.latency.Latency;
import org.mimosahinge.bench.move.MoveMeasurement;
import org.mimosahinge.bench.overload.Overload;

/** Entry point of {@code bin/measure NAME [--full]}: runs the named measurement. */
public final class Measure {

    private static final Map<String, Measurement> MEASUREMENTS = new TreeMap<>(Map.of(
            "latency", Latency::run,
            "footprint", Footprint::run,
            "convergence", ConvergenceMeasurement::run,
            "link", LinkTrafficMeasurement::run,
            "capacity", CapacityMeasurement::run,
            "calls", CallsMeasurement::run,
            "overload", Overload::run,
            "moves", (full, printer) -> MoveMeasurement.main(full ? new String[] {"--full"} : new String[0])));

    private Measure() {}

    /**
     * Runs one measurement.
     *
     * @param arguments its name and optionally {@code --full}
     */
    public static void main(String[] arguments) {
        System.exit(run(MEASUREMENTS, arguments, System.out));
    }

    /**
     * Runs one of the given measurements.
     *
     * @param measurements measurements by name
     * @param arguments name of the measurement and optionally {@code --full}
     * @param out receives the measured values
     * @return exit status: 0 on success, 1 if the measurement fails, 2 on wrong usage
     */
    static int run(Map<String, Measurement> measurements, String[] arguments, PrintStream out) {
        Measurement measurement = arguments.length == 0 ? null : measurements.get(arguments[0]);
        boolean full = arguments.length == 2 && arguments[1].equals("--full");
        if (measurement == null || arguments.length > (full ? 2 : 1)) {
            System.err.println("usage: bin/measure NAME [--full], NAME one of " + measurements.keySet());
            return 2;
        }
        try {
            measurement.run(full, MeasurementPrinter.to(out, "bin/measure " + String.join(" ", arguments)));
            return 0;
        } catch (RuntimeException e) {
            System.err.println("measure outcome=failed reason=\"" + e.getMessage() + '"');
            return 1;
        }
    }
}

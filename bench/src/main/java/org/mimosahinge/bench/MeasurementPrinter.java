package org.mimosahinge.bench;

import java.io.PrintStream;
import java.util.Locale;

/** Prints measured values, one per line, each with a baseline to compare with. */
public final class MeasurementPrinter {

    private final PrintStream out;
    private final String command;

    private MeasurementPrinter(PrintStream out, String command) {
        this.out = out;
        this.command = command;
    }

    /**
     * Creates a printer that writes to a stream.
     *
     * @param out the stream
     * @param command the command that repeats the measurement
     * @return the printer
     */
    public static MeasurementPrinter to(PrintStream out, String command) {
        return new MeasurementPrinter(out, command);
    }

    /**
     * A measured value.
     *
     * @param name dotted name
     * @param value the value
     * @param unit its unit
     */
    public record MeasuredValue(String name, double value, String unit) {}

    /**
     * Prints a measured value.
     *
     * @param measured the value
     * @param baseline what it is compared with
     * @param baselineValue value of the baseline in the same unit, NaN if there is none
     */
    public void print(MeasuredValue measured, String baseline, double baselineValue) {
        out.println("measure name=" + measured.name() + " value=" + format(measured.value()) + " unit="
                + measured.unit() + " baseline=" + baseline + " baseline_value=" + format(baselineValue) + " command=\""
                + command + '"');
    }

    private static String format(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : String.format(Locale.ROOT, "%.4g", value);
    }
}

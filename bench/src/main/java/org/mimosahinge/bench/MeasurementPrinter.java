package org.mimosahinge.bench;

import java.io.PrintStream;
import java.util.Locale;

/** Prints results, one line each. */
public final class MeasurementPrinter {

    private final PrintStream out;
    private final String command;

    private MeasurementPrinter(PrintStream out, String command) {
        this.out = out;
        this.command = command;
    }

    /**
     * Prints to a stream.
     *
     * @param out the stream
     * @param command the command that repeats the measurement
     * @return no figures yet
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
     * Prints a result.
     *
     * @param measured the value
     * @param baseline what it is compared with
     * @param baselineValue the value compared with, in the same unit
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

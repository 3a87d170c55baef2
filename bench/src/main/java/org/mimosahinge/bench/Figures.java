package org.mimosahinge.bench;

import java.io.PrintStream;
import java.util.Locale;

/** Prints results, one line each. */
public final class Figures {

    private final PrintStream out;
    private final String command;

    private Figures(PrintStream out, String command) {
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
    public static Figures to(PrintStream out, String command) {
        return new Figures(out, command);
    }

    /**
     * A measured value.
     *
     * @param name dotted name
     * @param value the value
     * @param unit its unit
     */
    public record Figure(String name, double value, String unit) {}

    /**
     * Prints a result.
     *
     * @param figure the value
     * @param baseline what it is compared with
     * @param baselineValue the value compared with, in the same unit
     */
    public void print(Figure figure, String baseline, double baselineValue) {
        out.println("measure name=" + figure.name() + " value=" + number(figure.value()) + " unit=" + figure.unit()
                + " baseline=" + baseline + " baseline_value=" + number(baselineValue) + " command=\"" + command + '"');
    }

    private static String number(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : String.format(Locale.ROOT, "%.4g", value);
    }
}

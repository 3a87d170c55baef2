package org.mimosahinge.bench.footprint;

import java.util.regex.Pattern;

/** Reads a daemon's {@code /metrics}. */
final class MetricsParser {

    private static final Pattern LINE = Pattern.compile("^(\\w+)(\\{[^}]*})?\\s+(\\S+)$");

    private MetricsParser() {}

    /**
     * Adds up all lines of one name.
     *
     * @param text the metrics, one {@code name{labels} value} a line
     * @param name the name
     * @return the sum, 0 when the name does not occur
     */
    static double sum(String text, String name) {
        return text.lines()
                .map(LINE::matcher)
                .filter(line -> line.matches() && line.group(1).equals(name))
                .mapToDouble(line -> Double.parseDouble(line.group(3)))
                .sum();
    }
}

package org.mimosahinge.bench.footprint;

import java.util.regex.Pattern;

/** Parses the text of a daemon's {@code /metrics}. */
final class MetricsParser {

    private static final Pattern LINE = Pattern.compile("^(\\w+)(\\{[^}]*})?\\s+(\\S+)$");

    private MetricsParser() {}

    /**
     * Sums the values of all lines of one metric.
     *
     * @param text the metrics, one {@code name{labels} value} per line
     * @param name name of the metric
     * @return the sum, 0 if the metric does not occur
     */
    static double sum(String text, String name) {
        return text.lines()
                .map(LINE::matcher)
                .filter(line -> line.matches() && line.group(1).equals(name))
                .mapToDouble(line -> Double.parseDouble(line.group(3)))
                .sum();
    }
}

package org.mimosahinge.daemon.operator;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Map;

/** Writes metrics in Prometheus text format, one line of name and value each. */
public final class MetricsText {

    private MetricsText() {}

    /**
     * Writes all counters and gauges of a registry.
     *
     * @param registry the registry
     * @return the text
     */
    public static String of(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Gauge> gauge : registry.getGauges().entrySet()) {
            appendLine(text, gauge.getKey(), gauge.getValue().getValue());
        }
        for (Map.Entry<String, Counter> counter : registry.getCounters().entrySet()) {
            appendLine(text, counter.getKey(), counter.getValue().getCount());
        }
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String name, Object value) {
        text.append(name).append(' ').append(value).append('\n');
    }
}

package org.mimosahinge.daemon.operator;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.function.Supplier;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.daemon.control.ControlByteCounter;
import org.mimosahinge.daemon.control.ControlLoop;

/** The metrics of a daemon in Prometheus text format. */
public final class DaemonMetrics {

    private final MetricRegistry registry = new MetricRegistry();

    /**
     * Creates the metrics.
     *
     * @param snapshots the configuration in force
     * @param traffic byte counter of control connections
     * @param loop the control thread
     */
    public DaemonMetrics(Supplier<Snapshot> snapshots, ControlByteCounter traffic, ControlLoop loop) {
        gauge("mimosahinge_config_version", () -> snapshots.get().version());
        gauge("mimosahinge_ready", () -> snapshots.get().provenCurrent() ? 1 : 0);
        gauge("mimosahinge_control_sent_bytes_total", traffic::sentBytes);
        gauge("mimosahinge_control_received_bytes_total", traffic::receivedBytes);
        gauge("mimosahinge_control_tasks_dropped_total", loop::droppedTasks);
    }

    private void gauge(String name, Gauge<Number> value) {
        registry.registerGauge(name, value);
    }

    /**
     * Writes all metrics.
     *
     * @return one line per metric
     */
    public String text() {
        return MetricsText.of(registry);
    }
}

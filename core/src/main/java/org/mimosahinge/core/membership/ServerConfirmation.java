package org.mimosahinge.core.membership;

import java.time.Duration;
import java.util.Optional;

/**
 * What a backend server has shown of itself to the current process of the node beside it.
 *
 * <p>A saved report, and a report that arrives late, may precede a departure that only an earlier process has
 * acknowledged. Both say what was true then, so neither makes an endpoint ready for calls by itself. A backend server
 * that responds to a health check or reports again accepts calls now, and reports a later departure to this process.
 *
 * @param evidence the strongest evidence so far
 * @param firstReport the first report of the backend server that has reported last, empty if none was received
 */
public record ServerConfirmation(Evidence evidence, Optional<FirstReport> firstReport) {

    /** Before the backend server has shown anything. */
    public static final ServerConfirmation NONE = new ServerConfirmation(Evidence.NONE, Optional.empty());

    /** Reports may be late, so several must be missing before the backend server counts as gone. */
    private static final int MISSED_REPORTS = 4;

    /** A single report may be a late one, and a health check may be wrong. */
    private static final int MISSED_REPORTS_UNTIL_REPEATED = 2;

    /** Reports that were held up together arrive together, so the second one must follow at a distance. */
    private static final int MIN_REPORT_DISTANCES_PER_HEARTBEAT = 2;

    /** How a backend server has shown that it accepts calls. */
    public enum Evidence {
        /** It has not. */
        NONE,
        /** It responded to a health check. */
        HEALTH_CHECK,
        /** It has reported repeatedly. */
        REPEATED_REPORTS
    }

    /**
     * The first report of a backend server.
     *
     * @param endpointId identifier of the endpoint
     * @param incarnation incarnation of the backend server
     * @param receivedNanos monotonic time at which the report was received
     */
    public record FirstReport(String endpointId, long incarnation, long receivedNanos) {

        private static FirstReport of(ServerReport report, long nowNanos) {
            return new FirstReport(report.id(), report.timestamp().incarnation(), nowNanos);
        }

        private boolean isOfSameServer(ServerReport report) {
            return endpointId.equals(report.id())
                    && incarnation == report.timestamp().incarnation();
        }
    }

    /**
     * Records a report that was received from the backend server.
     *
     * @param report the report
     * @param nowNanos monotonic time of its receipt
     * @param heartbeat interval of the reports
     * @return the confirmation afterwards
     */
    public ServerConfirmation reported(ServerReport report, long nowNanos, Duration heartbeat) {
        if (firstReport.isEmpty() || !firstReport.get().isOfSameServer(report)) {
            return new ServerConfirmation(evidence, Optional.of(FirstReport.of(report, nowNanos)));
        }
        boolean distant = nowNanos - firstReport.get().receivedNanos()
                >= heartbeat.toNanos() / MIN_REPORT_DISTANCES_PER_HEARTBEAT;
        return distant ? new ServerConfirmation(Evidence.REPEATED_REPORTS, firstReport) : this;
    }

    /**
     * Records that the backend server has responded to a health check, and states that it accepts calls.
     *
     * @return the confirmation afterwards
     */
    public ServerConfirmation checked() {
        return evidence == Evidence.NONE ? new ServerConfirmation(Evidence.HEALTH_CHECK, firstReport) : this;
    }

    /**
     * Returns whether a report that the backend server is ready can be relied on.
     *
     * <p>This holds for the rest of the process, also for later starts of the backend server: whatever departs from then
     * on reports its departure to this process.
     *
     * @return true with any evidence
     */
    public boolean isConfirmed() {
        return evidence != Evidence.NONE;
    }

    /**
     * Returns how many reports must be missing before a backend server counts as gone that was ready.
     *
     * @return the number of heartbeat intervals since the last report
     */
    public int toleratedMissedReports() {
        return evidence == Evidence.REPEATED_REPORTS ? MISSED_REPORTS : MISSED_REPORTS_UNTIL_REPEATED;
    }
}

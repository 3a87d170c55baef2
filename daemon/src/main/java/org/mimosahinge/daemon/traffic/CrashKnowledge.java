package org.mimosahinge.daemon.traffic;

import java.time.Duration;
import java.util.List;
import org.mimosahinge.core.poison.CrashReport;
import org.mimosahinge.core.poison.Fingerprint;

/** What a node knows of requests that were in flight at crashes; may be used on any thread. */
public interface CrashKnowledge {

    /** Knows nothing, for nodes without calls. */
    CrashKnowledge NONE = new CrashKnowledge() {
        @Override
        public boolean learn(CrashReport report) {
            return false;
        }

        @Override
        public List<CrashReport> crashReports() {
            return List.of();
        }

        @Override
        public boolean quarantine(Fingerprint fingerprint, Duration time) {
            return false;
        }
    };

    /**
     * Adds what another node knows.
     *
     * @param report its report
     * @return whether any of it is new here
     */
    boolean learn(CrashReport report);

    /**
     * Returns what a node must know that has just started.
     *
     * @return reports of the requests with unexplained crashes
     */
    List<CrashReport> crashReports();

    /**
     * Refuses a request that crashed backend servers according to a node that does not tell which.
     *
     * @param fingerprint the request
     * @param time how long it is refused
     * @return whether it was not refused before
     */
    boolean quarantine(Fingerprint fingerprint, Duration time);
}

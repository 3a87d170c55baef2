package org.mimosahinge.daemon.control;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.mimosahinge.core.poison.BackendStart;
import org.mimosahinge.core.poison.CrashRegistry;
import org.mimosahinge.core.poison.CrashReport;
import org.mimosahinge.core.poison.Fingerprint;
import org.mimosahinge.daemon.traffic.CrashKnowledge;
import org.mimosahinge.daemon.traffic.TrafficEvent;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.log.EventLog;

/** Converts what nodes tell each other about requests that were in flight at crashes, and logs it. */
public final class CrashReports {

    private static final EventLog LOG = EventLog.of("quarantine");

    private final CrashKnowledge knowledge;

    /**
     * Creates the converter.
     *
     * @param knowledge what this node knows
     */
    public CrashReports(CrashKnowledge knowledge) {
        this.knowledge = knowledge;
    }

    /**
     * Converts what this node has seen.
     *
     * @param known what it knows now
     * @return the frame for the other nodes
     */
    public Frame.RequestCrashes toFrame(TrafficEvent.CrashesKnown known) {
        CrashReport report = known.report();
        Fingerprint request = report.request();
        log(report);
        if (known.refused()) {
            LOG.warn("request_quarantined", "route", request.route(), "method", request.method(), "uri", request.uri());
        }
        return frame(report, known.refused() ? CrashRegistry.REFUSAL_MS : 0);
    }

    /**
     * Returns what a node must know that has just started.
     *
     * @return the frames
     */
    public List<Frame> openReports() {
        return knowledge.crashReports().stream()
                .<Frame>map(report -> frame(report, 0))
                .toList();
    }

    /**
     * Takes over what another node knows.
     *
     * @param frame its frame
     * @return whether any of it is new here
     */
    public boolean received(Frame.RequestCrashes frame) {
        Fingerprint request = new Fingerprint(frame.route(), frame.method(), frame.uri(), frame.bodyHash());
        if (frame.lost().isEmpty()) {
            return knowledge.quarantine(request, Duration.ofMillis(frame.refusedForMs()));
        }
        CrashReport report = new CrashReport(request, starts(frame.lost()), starts(frame.cleared()));
        boolean added = knowledge.learn(report);
        if (added) {
            log(report);
        }
        return added;
    }

    private static void log(CrashReport report) {
        LOG.info(
                "request_crashes",
                "route",
                report.request().route(),
                "method",
                report.request().method(),
                "uri",
                report.request().uri(),
                "lost",
                report.lost().size(),
                "cleared",
                report.cleared().size());
    }

    private static Frame.RequestCrashes frame(CrashReport report, long refusedForMs) {
        Fingerprint request = report.request();
        return new Frame.RequestCrashes(
                request.route(),
                request.method(),
                request.uri(),
                request.bodyHash(),
                refusedForMs,
                lostStarts(report.lost()),
                lostStarts(report.cleared()));
    }

    private static List<Frame.LostStart> lostStarts(Set<BackendStart> starts) {
        return starts.stream()
                .map(start -> new Frame.LostStart(start.endpointId(), start.birth(), start.ordinal()))
                .toList();
    }

    private static Set<BackendStart> starts(List<Frame.LostStart> starts) {
        return starts.stream()
                .map(start -> new BackendStart(start.endpointId(), start.birth(), start.ordinal()))
                .collect(Collectors.toUnmodifiableSet());
    }
}

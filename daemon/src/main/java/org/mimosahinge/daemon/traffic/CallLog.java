package org.mimosahinge.daemon.traffic;

import java.util.Map;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.error.CallException;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.core.routing.RouteIndex;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.log.EventLog;

/**
 * Logs and counts calls at their entry node: every failure and refusal, and a sample of the successes.
 *
 * <p>{@link EventLog} limits the rate of each event, so that failures of many calls do not slow them down further.
 */
final class CallLog {

    private static final EventLog LOG = EventLog.of("call");
    private static final String NONE = "-";
    private static final double NANOS_PER_MS = 1e6;

    /** Enough to distinguish hosts and routes, and short enough that callers cannot flood the log. */
    private static final int MAX_TEXT_LENGTH = 60;

    /** Longer than the usual messages of the HTTP decoder. */
    private static final int MAX_REASON_LENGTH = 120;

    /** Half of the 500 ms within which a caller's disconnect must reach its backend server. */
    private static final long LONG_TRANSIT_MS = 250;

    private final TrafficLoop loop;
    private final CallMetrics metrics;
    private final int logEvery;
    private long answeredCount;

    CallLog(TrafficLoop loop, CallMetrics metrics, int logEvery) {
        this.loop = loop;
        this.metrics = metrics;
        this.logEvery = logEvery;
    }

    void answered(CallRequest request, CallPlan plan, Attempt last) {
        metrics.answered(plan.route().callClass(), plan.elapsedMs());
        if (logEvery > 0 && ++answeredCount % logEvery == 0) {
            LOG.info(
                    "answered",
                    "request",
                    id(request),
                    "route",
                    plan.route().name(),
                    "endpoint",
                    last.endpoint().id(),
                    "attempts",
                    plan.attempts(),
                    "ms",
                    plan.elapsedMs(),
                    "config",
                    loop.snapshot().version());
        }
    }

    void attemptFailed(CallRequest request, CallPlan plan, Attempt attempt, Frame.CallFailure failure) {
        metrics.attemptFailed();
        LOG.info(
                "attempt_failed",
                "request",
                id(request),
                "endpoint",
                attempt.endpoint().id(),
                "node",
                attempt.endpoint().node().id(),
                "code",
                failure.code(),
                "not_run",
                failure.notRun(),
                "load_permille",
                failure.load().permille(),
                "room_in_ms",
                failure.estimatedWaitMs(),
                "ms",
                plan.elapsedMs(),
                "reason",
                failure.message());
    }

    /** Logs that another attempt is started beside one that is silent or has a 5xx response. */
    void attemptHedged(CallRequest request, CallPlan plan, Attempt attempt, String reason) {
        metrics.attemptHedged();
        LOG.info(
                "attempt_hedged",
                "request",
                id(request),
                "endpoint",
                attempt.endpoint().id(),
                "node",
                attempt.endpoint().node().id(),
                "ms",
                plan.elapsedMs(),
                "reason",
                reason);
    }

    /** Logs that no route matches, with the age of the configuration version on this node. */
    void noRoute(CallRequest request, Snapshot snapshot) {
        LOG.info(
                "no_route",
                "request",
                id(request),
                "host",
                bounded(request.host(), MAX_TEXT_LENGTH),
                "prefix",
                bounded(RouteIndex.firstSegment(request.uri()), MAX_TEXT_LENGTH),
                "config",
                snapshot.version(),
                "config_age_ms",
                ageMs(snapshot),
                "routes",
                snapshot.routes().size());
    }

    /** Logs a request that was rejected for its syntax or its size. */
    void rejected(Rejection rejection, Snapshot snapshot) {
        metrics.rejected(rejection.cause());
        LOG.info(
                "request_rejected",
                "request",
                bounded(rejection.requestId(), MAX_TEXT_LENGTH),
                "status",
                rejection.cause().status(),
                "cause",
                rejection.cause().label(),
                "earlier",
                rejection.earlierRequests(),
                "max_header_bytes",
                snapshot.callerLimits().maxHeaderBytes(),
                "max_body_bytes",
                snapshot.callerLimits().maxBodyBytes(),
                "config",
                snapshot.version(),
                "config_age_ms",
                ageMs(snapshot),
                "reason",
                bounded(rejection.reason(), MAX_REASON_LENGTH));
    }

    /** Logs a backend server's response that is passed on to the caller if its status is 3xx or 4xx. */
    void passedOn(CallRequest request, CallPlan plan, Attempt from, int status) {
        if (status / 100 != 3 && status / 100 != 4) {
            return;
        }
        metrics.passedOn(status);
        LOG.info(
                "answer_passed_on",
                "request",
                id(request),
                "route",
                plan.route().name(),
                "endpoint",
                from.endpoint().id(),
                "status",
                status,
                "config",
                loop.snapshot().version());
    }

    private long ageMs(Snapshot snapshot) {
        return loop.context().snapshots().ageMs(snapshot);
    }

    private static String bounded(String text, int limit) {
        return text.length() <= limit ? text : text.substring(0, limit);
    }

    void failed(CallRequest request, CallPlan plan, Snapshot snapshot, CallException failure) {
        if (failure.notRun()) {
            metrics.refused(failure.code());
        } else {
            metrics.failed(failure.code());
        }
        LOG.info(
                failure.notRun() ? "refused" : "failed",
                "request",
                id(request),
                "route",
                plan == null ? NONE : plan.route().name(),
                "class",
                plan == null ? NONE : plan.route().callClass(),
                "code",
                failure.code().code(),
                "attempts",
                plan == null ? 0 : plan.attempts(),
                "ms",
                plan == null ? 0 : plan.elapsedMs(),
                "retry_after_ms",
                failure.retryAfterMs(),
                "waited_ms",
                plan == null ? 0 : plan.earlierAttemptsMs(),
                "config",
                snapshot.version(),
                "reason",
                failure.getMessage());
    }

    void responseTruncated(CallRequest request, CallPlan plan) {
        metrics.responseTruncated();
        LOG.info("response_cut", "request", id(request), "route", plan.route().name(), "ms", plan.elapsedMs());
    }

    void callerDisconnected(CallRequest request, CallPlan plan, Attempt last, long unreadMs) {
        metrics.callerDisconnected();
        LOG.info(
                "caller_left",
                "request",
                id(request),
                "route",
                plan == null ? NONE : plan.route().name(),
                "endpoint",
                last == null ? NONE : last.endpoint().id(),
                "ms",
                plan == null ? 0 : plan.elapsedMs(),
                "unread_ms",
                unreadMs);
    }

    /** Logs a caller that disconnected before its request was handled. */
    void callerDisconnected(Map<String, String> headers, long unreadMs) {
        metrics.callerDisconnected();
        LOG.info(
                "caller_left", "request", id(headers), "route", NONE, "endpoint", NONE, "ms", 0, "unread_ms", unreadMs);
    }

    /** Counts a call from another node and logs it if its transit took long. */
    void callReceived(Frame.CallStart start, Node from, long transitMs) {
        metrics.callReceived(transitMs);
        if (transitMs >= LONG_TRANSIT_MS) {
            LOG.info(
                    "call_arrived_late",
                    "request",
                    id(start.headers()),
                    "endpoint",
                    start.endpointId(),
                    "node",
                    from == null ? NONE : from.id(),
                    "transit_ms",
                    transitMs,
                    "deadline_ms",
                    start.deadlineMs());
        }
    }

    /** Logs a call that was cancelled by its sender; the state is that of the call at the backend server's node. */
    void cancelled(Frame.CallStart start, String state, long slotNanos, long sentNanos) {
        metrics.cancelled(state);
        LOG.info(
                "cancelled",
                "request",
                id(start.headers()),
                "endpoint",
                start.endpointId(),
                "state",
                state,
                "ms",
                Math.round(slotNanos / NANOS_PER_MS),
                "since_sent_ms",
                Math.round(sentNanos / NANOS_PER_MS));
    }

    /** Logs why a connection to or from another node is closed. */
    void peerFailed(Throwable cause) {
        LOG.info("peer_failed", "reason", cause);
    }

    /** Logs a caller's connection that is not read, so that neither its next request nor its close is noticed. */
    void callerNotRead(int messages, long ms) {
        LOG.info("caller_not_read", "messages", messages, "ms", ms);
    }

    private String id(CallRequest request) {
        return id(request.headers());
    }

    private String id(Map<String, String> headers) {
        return headers.getOrDefault(loop.protocol().requestIdHeader(), NONE);
    }
}

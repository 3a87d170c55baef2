package org.mimosahinge.daemon.traffic;

import org.mimosahinge.api.error.CallException;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.log.EventLog;

/**
 * Logs what was decided about calls where they began: every failure and refusal, and one in a number of successes.
 *
 * <p>The log bounds lines by event, so that trouble of many calls does not cost them more time.
 */
final class CallDecisions {

    private static final EventLog LOG = EventLog.of("call");
    private static final String NONE = "-";

    private final TrafficLoop loop;
    private final CallMetrics metrics;
    private final int every;
    private long answered;

    CallDecisions(TrafficLoop loop, CallMetrics metrics, int every) {
        this.loop = loop;
        this.metrics = metrics;
        this.every = every;
    }

    void answered(CallRequest request, CallPlan plan, Attempt last) {
        metrics.answered(plan.route().callClass(), plan.elapsedMs());
        if (every > 0 && ++answered % every == 0) {
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
                failure.roomInMs(),
                "ms",
                plan.elapsedMs(),
                "reason",
                failure.message());
    }

    void failed(CallRequest request, CallPlan plan, CallException failure) {
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
                plan == null ? 0 : plan.waitedMs(),
                "config",
                loop.snapshot().version(),
                "reason",
                failure.getMessage());
    }

    void cut(CallRequest request, CallPlan plan) {
        metrics.cut();
        LOG.info("response_cut", "request", id(request), "route", plan.route().name(), "ms", plan.elapsedMs());
    }

    void callerLeft(CallRequest request, CallPlan plan) {
        metrics.callerLeft();
        LOG.info(
                "caller_left",
                "request",
                id(request),
                "route",
                plan == null ? NONE : plan.route().name(),
                "ms",
                plan == null ? 0 : plan.elapsedMs());
    }

    private String id(CallRequest request) {
        return request.headers().getOrDefault(loop.protocol().requestIdHeader(), NONE);
    }
}

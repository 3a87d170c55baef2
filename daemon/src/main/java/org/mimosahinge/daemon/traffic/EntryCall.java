package org.mimosahinge.daemon.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.error.CallException;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.core.admission.RetryAfterPolicy;
import org.mimosahinge.core.deadline.RequestDelay;
import org.mimosahinge.core.once.ClaimStep;
import org.mimosahinge.core.routing.EndpointChoice;
import org.mimosahinge.net.frame.Frame;

/** A caller's call at the node that the caller is connected to. */
final class EntryCall {

    private static final int SERVER_ERRORS = 500;

    /** Time assumed to be left where a call is refused before its route is known. */
    private static final long UNKNOWN_REMAINING_MS = 1_000;

    private final TrafficLoop loop;
    private final CallRequest request;
    private final CallerSink sink;
    private final RequestBody body = new RequestBody();
    private final ResponseProgress progress;
    private final Snapshot decided;
    private final RequestDelay delay;
    private CallPlan plan;
    private PoisonGuard poison;
    private OnceGuard once;
    private ScheduledFuture<?> timer;
    private Attempt attempt;
    private HeldResponse heldResponse;
    private long deadlineMs;
    private long roomInMs;
    private boolean held;
    private boolean mayHaveRun;
    private boolean ended;

    EntryCall(TrafficLoop loop, CallRequest request, Snapshot decided, RequestDelay delay, CallerSink sink) {
        this.loop = loop;
        this.request = request;
        this.decided = decided;
        this.delay = delay;
        this.sink = sink;
        progress = new ResponseProgress(request);
    }

    /** Routes the call. */
    void begin() {
        if (!decided.provenCurrent()) {
            refuse(ErrorCode.NOT_READY, "The node has no proof that its configuration is current");
            return;
        }
        Optional<Route> matched = loop.routes(decided).match(request.host(), request.uri());
        if (matched.isEmpty()) {
            loop.decisions().noRoute(request, decided);
            refuse(ErrorCode.NO_ROUTE, "No route of version " + decided.version() + " matches host and path");
            return;
        }
        Route route = matched.get();
        String target = loop.turns().next(route);
        Service service = decided.services().get(target);
        deadlineMs = HeaderMaps.deadlineMs(
                request.headers(),
                loop.protocol().deadlineHeader(),
                route.timeout().toMillis());
        if (service == null) {
            refuse(ErrorCode.NO_ENDPOINT, "Service \"" + target + "\" is not known");
            return;
        }
        long statedMs = HeaderMaps.number(request.headers(), loop.protocol().deadlineHeader());
        long waitedMs = loop.callerDeadlines().waitedMs(route, statedMs);
        CallTimes times = new CallTimes(deadlineMs, waitedMs, delay.elapsedMs(deadlineMs));
        plan = new CallPlan(loop, request, body, route, service, times);
        if (times.spentMs() >= deadlineMs) {
            refuse(ErrorCode.DEADLINE_EXCEEDED, "The deadline passed behind other calls of the connection");
            return;
        }
        timer = loop.eventLoop().schedule(this::deadlinePassed, deadlineMs - times.spentMs(), TimeUnit.MILLISECONDS);
        if (route.atMostOnce()) {
            String key = request.headers().getOrDefault(OnceGuard.KEY_HEADER, "");
            if (!OnceGuard.valid(key)) {
                refuse(ErrorCode.KEY_REQUIRED, "Route \"" + route.name() + "\" needs an idempotency-key");
                return;
            }
            once = new OnceGuard(loop, service.name(), key, request);
        }
        poison = new PoisonGuard(loop.context(), route.name(), request, body);
        held = poison.needsBody();
        if (!held) {
            admit();
        }
    }

    private void admit() {
        held = false;
        if (poison.refused()) {
            refuse(ErrorCode.REQUEST_QUARANTINED, "The request crashed several backend servers");
        } else if (once != null) {
            once.claim(this::claimed);
        } else {
            firstAttempt();
        }
    }

    private void claimed(ClaimStep step) {
        if (ended) {
            // The caller was already told that the call did not run, so the key must become free again.
            once.notRun();
        } else if (step instanceof ClaimStep.Forward) {
            firstAttempt();
        } else if (step instanceof ClaimStep.Replay answer) {
            end();
            OnceGuard.answer(answer.claim(), sink);
        } else if (step instanceof ClaimStep.Refuse refusal) {
            refuse(refusal.code(), refusal.reason());
        } else {
            fail(CallException.mayHaveRun(
                    ErrorCode.OUTCOME_UNKNOWN, "Another call with this idempotency-key may have run"));
        }
    }

    private void firstAttempt() {
        loop.budgets().attempted(plan.service());
        Optional<EndpointChoice> choice = plan.choose();
        if (choice.isEmpty() && plan.roomInMs() > 0) {
            roomInMs = plan.roomInMs();
            notRun(ErrorCode.OVERLOADED, "All endpoints have refused such calls a moment ago");
        } else if (choice.isEmpty()) {
            notRun(
                    ErrorCode.NO_ENDPOINT,
                    "No endpoint of service \"" + plan.service().name() + "\" can take the call");
        } else {
            attempt(choice.get(), request.headers());
        }
    }

    private void attempt(EndpointChoice choice, Map<String, String> headers) {
        attempt = plan.attempt(this, choice);
        plan.send(attempt, headers);
    }

    /** Tells whether a backend server may have received part of the request. */
    boolean forwarded() {
        return attempt != null;
    }

    /** Takes part of the request's body from the caller. */
    void requestBody(byte[] bytes, boolean last) {
        body.add(bytes, last);
        if (attempt != null && !attempt.ended()) {
            if (request.hasBody()) {
                attempt.requestBody(bytes, last);
            }
        } else if (held && !ended && (last || !body.replayable())) {
            admit();
        }
    }

    void flushRequest() {
        if (attempt != null) {
            attempt.exchange().flush();
        }
    }

    /** The caller has taken bytes of the response. */
    void responseCredit(int bytes) {
        if (attempt != null && !attempt.ended()) {
            attempt.credited(bytes);
        }
    }

    /** The caller has left. */
    void callerLeft() {
        if (!ended) {
            loop.decisions().callerLeft(request, plan, attempt, delay.maxUnreadMs());
            end();
            if (attempt != null) {
                attempt.abandon();
            }
        }
    }

    void started(Attempt from, Frame.ResponseStart start) {
        if (from != attempt || ended) {
            return;
        }
        if (progress.begun()) {
            if (!progress.resumes(start)) {
                attempt.abandon();
                cut();
            }
            return;
        }
        if (loop.context().policies().fleet().heldBytes() > 0 && plan.route().idempotent()) {
            heldResponse = new HeldResponse(start);
            return;
        }
        deliverStart(from, start);
    }

    private void deliverStart(Attempt from, Frame.ResponseStart start) {
        progress.begin(start);
        if (once != null) {
            once.started(start);
        }
        if (start.status() / 100 == 3 || start.status() / 100 == 4) {
            loop.decisions().passedOn(request, plan, from, start.status());
        }
        sink.started(start);
    }

    void responseBody(Attempt from, byte[] bytes, boolean last) {
        if (from != attempt || ended) {
            return;
        }
        if (heldResponse == null) {
            deliverBody(from, bytes, last);
            return;
        }
        heldResponse.add(bytes);
        if (!last && heldResponse.bytes() <= loop.context().policies().fleet().heldBytes()) {
            from.credited(bytes.length);
            return;
        }
        HeldResponse whole = heldResponse;
        heldResponse = null;
        if (last && !complete(whole)) {
            attemptFailed(from, CallFailures.mayHaveRun(0, ErrorCode.ANSWER_TRUNCATED, "The response is too short"));
            return;
        }
        deliverStart(from, whole.start());
        whole.parts().forEach(part -> deliverBody(from, part, false));
        if (last) {
            deliverBody(from, new byte[0], true);
        }
    }

    private boolean complete(HeldResponse whole) {
        ResponseProgress received = new ResponseProgress(request);
        received.begin(whole.start());
        whole.parts().forEach(received::take);
        return received.complete();
    }

    private void deliverBody(Attempt from, byte[] bytes, boolean last) {
        byte[] wanted = progress.take(bytes);
        if (wanted.length < bytes.length && !last) {
            from.credited(bytes.length - wanted.length);
        }
        if (last && !progress.complete()) {
            attemptFailed(from, CallFailures.mayHaveRun(0, ErrorCode.ANSWER_TRUNCATED, "The response is too short"));
            return;
        }
        if (once != null) {
            once.body(wanted, last);
        }
        if (last) {
            poison.succeeded();
            loop.sizes().observe(plan.route().name(), progress.bytes());
            loop.decisions().answered(request, plan, from);
            end();
        }
        if (wanted.length > 0 || last) {
            sink.body(wanted, last);
        }
    }

    void requestCredit(int bytes) {
        int granted = body.granted(bytes);
        if (granted > 0 && !ended) {
            sink.credit(granted);
        }
    }

    void flushResponse() {
        sink.flush();
    }

    /** An attempt has certainly reached its endpoint. */
    void attemptReached() {
        plan.reached();
    }

    /** An attempt ended without a whole response. */
    void attemptFailed(Attempt from, Frame.CallFailure failure) {
        if (from != attempt || ended) {
            return;
        }
        heldResponse = null;
        if (!failure.notRun()) {
            // A refusal by the last endpoint says nothing about attempts at others before it.
            mayHaveRun = true;
            plan.reached();
        }
        if (failure.estimatedWaitMs() > 0) {
            roomInMs = roomInMs == 0 ? failure.estimatedWaitMs() : Math.min(roomInMs, failure.estimatedWaitMs());
        }
        loop.decisions().attemptFailed(request, plan, from, failure);
        if (CallFailures.crash(failure) && poison.crashed()) {
            conclude(CallException.mayHaveRun(
                    ErrorCode.REQUEST_QUARANTINED, "The request crashed several backend servers"));
            return;
        }
        Optional<Map<String, String>> headers = progress.begun()
                ? progress.resumeHeaders().map(this::withRequestHeaders)
                : Optional.of(request.headers());
        if (headers.isEmpty() || !plan.mayRetry(failure.notRun() && !progress.begun())) {
            conclude(CallFailures.exception(failure, mayHaveRun));
            return;
        }
        Optional<EndpointChoice> choice = plan.choose();
        if (choice.isEmpty()) {
            conclude(CallFailures.exception(failure, mayHaveRun));
            return;
        }
        if (plan.hasReached()) {
            loop.budgets().retried(plan.service());
        }
        attempt(choice.get(), headers.get());
    }

    /** Tells whether giving up a silent attempt leads to another one. */
    boolean mayRetrySilent() {
        return (!progress.begun() || progress.resumeHeaders().isPresent()) && plan.mayRetry(false);
    }

    /** Tells whether a failure that the backend server answered is worth another attempt. */
    boolean mayReplaceFailure() {
        return loop.context().policies().fleet().heldBytes() > 0 && !progress.begun() && plan.mayRetry(false);
    }

    private Map<String, String> withRequestHeaders(Map<String, String> extra) {
        Map<String, String> headers = new HashMap<>(request.headers());
        headers.putAll(extra);
        return headers;
    }

    private void deadlinePassed() {
        if (ended) {
            return;
        }
        if (attempt == null) {
            refuse(ErrorCode.DEADLINE_EXCEEDED, "The deadline passed before the call was forwarded");
            return;
        }
        attempt.timedOut();
        conclude(CallException.mayHaveRun(ErrorCode.DEADLINE_EXCEEDED, "The deadline passed"));
    }

    private void conclude(CallException failure) {
        if (progress.begun()) {
            cut();
        } else if (failure.notRun()) {
            notRun(failure.code(), failure.getMessage());
        } else {
            fail(failure);
        }
    }

    private void notRun(ErrorCode code, String message) {
        if (once != null) {
            once.notRun();
        }
        refuse(code, message);
    }

    private void refuse(ErrorCode code, String message) {
        CallException refusal = CallException.notRun(code, message);
        boolean mayComeBack = code.httpStatus() >= SERVER_ERRORS && code != ErrorCode.REQUEST_QUARANTINED;
        long remainingMs = plan == null ? UNKNOWN_REMAINING_MS : Math.max(0, deadlineMs - plan.elapsedMs());
        long targetMs = plan == null ? 0 : plan.targetMs();
        fail(
                mayComeBack
                        ? refusal.withRetryAfterMs(RetryAfterPolicy.retryAfterMs(
                                roomInMs,
                                targetMs,
                                remainingMs,
                                loop.context().policies().random()))
                        : refusal);
    }

    private void fail(CallException failure) {
        loop.decisions().failed(request, plan, decided, failure);
        end();
        sink.failed(failure);
    }

    private void cut() {
        loop.decisions().cut(request, plan);
        end();
        sink.cut();
    }

    private void end() {
        ended = true;
        if (timer != null) {
            timer.cancel(false);
        }
    }
}

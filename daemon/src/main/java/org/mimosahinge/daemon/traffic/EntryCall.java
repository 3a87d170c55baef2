package org.mimosahinge.daemon.traffic;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.error.CallException;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.core.deadline.RequestDelay;
import org.mimosahinge.core.once.ClaimStep;
import org.mimosahinge.core.routing.EndpointChoice;
import org.mimosahinge.net.frame.Frame;

/** A caller's call at its entry node, the node that the caller is connected to. */
final class EntryCall {

    /** Remaining time assumed for a call that is refused before its route is known. */
    private static final long ASSUMED_REMAINING_MS = 1_000;

    static final String NODE_STOPS = "The node is stopping";

    private final TrafficLoop loop;
    private final CallRequest request;
    private final CallerSink sink;
    private final RequestBody body = new RequestBody();
    private final ResponseProgress progress;
    private final Snapshot snapshot;
    private final RequestDelay delay;
    private CallPlan plan;
    private NextAttempt next;
    private PoisonRequestGuard poisonRequests;
    private AtMostOnceGuard atMostOnce;
    private ScheduledFuture<?> timer;
    private QuotaGates.Credit credit = QuotaGates.Credit.NONE;
    private final CallAttempts attempts = new CallAttempts();
    private Attempt source;
    private long deadlineMs;
    private long estimatedWaitMs;
    private boolean awaitingBody;
    private boolean mayHaveRun;
    private boolean ended;

    EntryCall(TrafficLoop loop, CallRequest request, Snapshot snapshot, RequestDelay delay, CallerSink sink) {
        this.loop = loop;
        this.request = request;
        this.snapshot = snapshot;
        this.delay = delay;
        this.sink = sink;
        progress = new ResponseProgress(request);
    }

    /** Routes the call and starts its first attempt, or refuses it. */
    void begin() {
        CallRouting routing = CallRouting.of(loop, request, snapshot, body, delay);
        plan = routing.plan();
        next = new NextAttempt(loop, request, plan, progress, attempts);
        deadlineMs = routing.deadlineMs();
        credit = routing.credit();
        if (routing.refusal().isPresent()) {
            refuse(routing.refusal().get());
            return;
        }
        Route route = plan.route();
        timer = loop.eventLoop().schedule(this::deadlinePassed, deadlineMs - plan.elapsedMs(), TimeUnit.MILLISECONDS);
        if (route.atMostOnce()) {
            String key = request.headers().getOrDefault(AtMostOnceGuard.KEY_HEADER, "");
            if (!AtMostOnceGuard.isValidKey(key)) {
                refuse(ErrorCode.KEY_REQUIRED, "Route \"" + route.name() + "\" needs an idempotency-key");
                return;
            }
            atMostOnce = new AtMostOnceGuard(loop, plan.service().name(), key, request);
        }
        poisonRequests = new PoisonRequestGuard(loop.context(), route.name(), request, body);
        awaitingBody = poisonRequests.needsBody();
        if (!awaitingBody) {
            admit();
        }
    }

    private void admit() {
        awaitingBody = false;
        if (poisonRequests.refused()) {
            refuse(ErrorCode.REQUEST_QUARANTINED, "The request crashed several backend servers");
        } else if (atMostOnce != null) {
            atMostOnce.claim(this::claimSettled);
        } else {
            firstAttempt();
        }
    }

    private void claimSettled(ClaimStep step) {
        if (ended) {
            // The caller has already been told that the call did not run, so the key must be released.
            atMostOnce.notRun();
        } else if (step instanceof ClaimStep.Forward) {
            firstAttempt();
        } else if (step instanceof ClaimStep.Replay answer) {
            end();
            AtMostOnceGuard.replay(answer.claim(), sink);
        } else if (step instanceof ClaimStep.Refuse refusal) {
            refuse(refusal.code(), refusal.reason());
        } else {
            fail(CallException.mayHaveRun(
                    ErrorCode.OUTCOME_UNKNOWN, "Another call with this idempotency-key may have run"));
        }
    }

    private void firstAttempt() {
        plan.countFirstAttempt();
        Optional<EndpointChoice> choice = plan.choose();
        if (choice.isEmpty() && plan.estimatedWaitMs() > 0) {
            estimatedWaitMs = plan.estimatedWaitMs();
            notRun(ErrorCode.OVERLOADED, "No endpoint is likely to have room for such calls");
        } else if (choice.isEmpty()) {
            notRun(ErrorCode.NO_ENDPOINT, plan.noEndpointReason());
        } else {
            attempt(choice.get(), request.headers());
        }
    }

    private void attempt(EndpointChoice choice, Map<String, String> headers) {
        Attempt attempt = plan.newAttempt(this, choice);
        attempts.add(attempt);
        plan.send(attempt, headers);
    }

    /** Returns whether a backend server may have received part of the request. */
    boolean forwarded() {
        return attempts.lastStarted().isPresent();
    }

    /** Handles part of the request's body from the caller. */
    void requestBody(byte[] bytes, boolean last) {
        body.add(bytes, last);
        Optional<Attempt> receiver = attempts.newest().filter(attempt -> !attempt.ended());
        if (receiver.isPresent() && request.hasBody()) {
            receiver.get().requestBody(bytes, last);
        } else if (awaitingBody && !ended && (last || !body.fitsWindow())) {
            admit();
        }
    }

    void flushRequest() {
        attempts.newest().ifPresent(attempt -> attempt.stream().flush());
    }

    /** Handles the notice that the caller has consumed bytes of the response. */
    void responseCredit(int bytes) {
        if (source != null && !source.ended()) {
            source.credited(bytes);
        }
    }

    /** Handles the disconnect of the caller. */
    void callerDisconnected() {
        if (!ended) {
            loop.callLog()
                    .callerDisconnected(request, plan, attempts.lastStarted().orElse(null), delay.maxUnreadMs());
            end();
            if (forwarded()) {
                attempts.endAll(Attempt::abandon);
            } else {
                credit.giveBack();
            }
        }
    }

    /** Ends the call with a failure, because this node's process ends. */
    void nodeStops() {
        if (ended) {
            return;
        }
        if (!forwarded()) {
            notRun(ErrorCode.NOT_READY, NODE_STOPS);
            return;
        }
        conclude(CallException.mayHaveRun(ErrorCode.CONNECTION_LOST, NODE_STOPS));
    }

    void started(Attempt from, Frame.ResponseStart start) {
        if (!attempts.contains(from) || ended) {
            return;
        }
        if (progress.begun()) {
            resume(from, start);
        } else if (loop.context().policies().peering().responseBufferBytes() > 0
                && plan.route().idempotent()) {
            from.setBuffered(new BufferedResponse(start));
        } else {
            deliverStart(from, start);
        }
    }

    private void resume(Attempt from, Frame.ResponseStart start) {
        if (progress.resumes(start)) {
            source = from;
            attempts.keepOnly(from);
            return;
        }
        attempts.remove(from);
        from.abandon();
        if (attempts.isEmpty()) {
            truncateResponse();
        }
    }

    private void deliverStart(Attempt from, Frame.ResponseStart start) {
        source = from;
        attempts.keepOnly(from);
        progress.begin(start);
        if (atMostOnce != null) {
            atMostOnce.started(start);
        }
        loop.callLog().passedOn(request, plan, from, start.status());
        sink.started(start);
    }

    void responseBody(Attempt from, byte[] bytes, boolean last) {
        if (!attempts.contains(from) || ended) {
            return;
        }
        BufferedResponse buffered = from.buffered();
        if (buffered == null) {
            // It continues: an attempt that was to take over is not needed.
            attempts.keepOnly(from);
            deliverBody(from, bytes, last);
            return;
        }
        buffered.add(bytes);
        boolean fits = buffered.bytes() <= loop.context().policies().peering().responseBufferBytes();
        if (!last && fits) {
            from.credited(bytes.length);
        } else if (last && !buffered.isComplete(request)) {
            attemptFailed(from, CallFailures.mayHaveRun(0, ErrorCode.ANSWER_TRUNCATED, "The response is too short"));
        } else if (from.isServerError() && attempts.newest().orElseThrow() != from) {
            if (last) {
                attempts.keepServerError(from);
            } else {
                attempts.remove(from);
                from.superseded();
            }
        } else {
            from.setBuffered(null);
            deliver(from, buffered, last);
        }
    }

    private void deliver(Attempt from, BufferedResponse buffered, boolean last) {
        deliverStart(from, buffered.start());
        buffered.parts().forEach(part -> deliverBody(from, part, false));
        if (last) {
            deliverBody(from, new byte[0], true);
        }
    }

    private void deliverBody(Attempt from, byte[] bytes, boolean last) {
        byte[] newBytes = progress.accept(bytes);
        if (newBytes.length < bytes.length && !last) {
            from.credited(bytes.length - newBytes.length);
        }
        if (last && !progress.complete()) {
            attemptFailed(from, CallFailures.mayHaveRun(0, ErrorCode.ANSWER_TRUNCATED, "The response is too short"));
            return;
        }
        if (atMostOnce != null) {
            atMostOnce.body(newBytes, last);
        }
        if (last) {
            poisonRequests.succeeded();
            loop.sizes().observe(plan.route().name(), body.receivedBytes() + progress.bytes());
            loop.callLog().answered(request, plan, from);
            end();
        }
        if (newBytes.length > 0 || last) {
            sink.body(newBytes, last);
        }
    }

    void requestCredit(int bytes) {
        int granted = body.limitGrant(bytes);
        if (granted > 0 && !ended) {
            sink.credit(granted);
        }
    }

    void flushResponse() {
        sink.flush();
    }

    /** Counts an attempt that is known to have reached its endpoint. */
    void attemptReached() {
        plan.attemptReached();
    }

    /** Handles an attempt that ended without a complete response: retries, waits for another one or reports the failure. */
    void attemptFailed(Attempt from, Frame.CallFailure failure) {
        if (!attempts.contains(from) || ended) {
            return;
        }
        boolean newest = attempts.newest().orElseThrow() == from;
        attempts.remove(from);
        if (!failure.notRun()) {
            // A later refusal by another endpoint does not change that this attempt may have run.
            mayHaveRun = true;
            from.countReached();
        }
        if (failure.estimatedWaitMs() > 0) {
            estimatedWaitMs = estimatedWaitMs == 0
                    ? failure.estimatedWaitMs()
                    : Math.min(estimatedWaitMs, failure.estimatedWaitMs());
        }
        loop.callLog().attemptFailed(request, plan, from, failure);
        if (CallFailures.isCrash(failure) && poisonRequests.crashed(from.endpoint())) {
            conclude(CallException.mayHaveRun(
                    ErrorCode.REQUEST_QUARANTINED, "The request crashed several backend servers"));
            return;
        }
        Optional<EndpointChoice> choice = newest ? next.after(failure.notRun()) : Optional.empty();
        if (choice.isPresent()) {
            startNext(choice.get());
        } else if (attempts.isEmpty()) {
            conclude(CallFailures.exception(failure, mayHaveRun));
        }
    }

    /** Returns an endpoint for an attempt beside one that is silent or has a 5xx response, empty if there is none. */
    Optional<EndpointChoice> nextBeside(Attempt doubtful) {
        return ended ? Optional.empty() : next.beside(doubtful);
    }

    /** Starts another attempt beside one that goes on. */
    void hedge(Attempt doubtful, EndpointChoice choice, String reason) {
        loop.callLog().attemptHedged(request, plan, doubtful, reason);
        startNext(choice);
    }

    private void startNext(EndpointChoice choice) {
        if (plan.hasReachedEndpoint()) {
            loop.retryBudgets().retried(plan.service());
        }
        attempt(choice, next.headers());
    }

    private void deadlinePassed() {
        if (ended) {
            return;
        }
        if (!forwarded()) {
            refuse(ErrorCode.DEADLINE_EXCEEDED, "The deadline passed before the call was forwarded");
            return;
        }
        attempts.endAll(Attempt::timedOut);
        conclude(CallException.mayHaveRun(ErrorCode.DEADLINE_EXCEEDED, "The deadline passed"));
    }

    private void conclude(CallException failure) {
        attempts.endAll(Attempt::abandon);
        Optional<Attempt> serverError = attempts.serverError();
        if (serverError.isPresent()) {
            deliver(serverError.get(), serverError.get().buffered(), true);
            flushResponse();
        } else if (progress.begun()) {
            truncateResponse();
        } else if (failure.notRun()) {
            notRun(failure.code(), failure.getMessage());
        } else {
            fail(failure);
        }
    }

    private void notRun(ErrorCode code, String message) {
        if (atMostOnce != null) {
            atMostOnce.notRun();
        }
        refuse(code, message);
    }

    private void refuse(ErrorCode code, String message) {
        refuse(new CallRouting.Refusal(code, message, 0));
    }

    /** Refuses the call, which has not run. */
    private void refuse(CallRouting.Refusal refusal) {
        credit.giveBack();
        long remainingMs = plan == null ? ASSUMED_REMAINING_MS : Math.max(0, deadlineMs - plan.elapsedMs());
        long targetMs = plan == null ? 0 : plan.targetMs();
        long retryAfterMs = refusal.retryAfterMs(
                estimatedWaitMs,
                targetMs,
                remainingMs,
                loop.context().policies().random());
        fail(CallException.notRun(refusal.code(), refusal.reason()).withRetryAfterMs(retryAfterMs));
    }

    private void fail(CallException failure) {
        loop.callLog().failed(request, plan, snapshot, failure);
        end();
        sink.failed(failure);
    }

    private void truncateResponse() {
        loop.callLog().responseTruncated(request, plan);
        end();
        sink.responseTruncated();
    }

    private void end() {
        ended = true;
        if (timer != null) {
            timer.cancel(false);
        }
    }
}

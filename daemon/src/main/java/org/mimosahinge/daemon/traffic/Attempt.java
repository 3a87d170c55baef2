package org.mimosahinge.daemon.traffic;

import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.core.move.CallOutcomeRecorder;
import org.mimosahinge.core.move.CallOutcomesKey;
import org.mimosahinge.core.move.FailureKind;
import org.mimosahinge.core.routing.EndpointChoice;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.http.HttpStatusLine;

/** One attempt of a call at one endpoint; passes the response on to the call until the attempt ends or is abandoned. */
final class Attempt implements ResponseObserver {

    private static final double NANOS_PER_MS = 1e6;

    private static final int MIN_SERVER_ERROR_STATUS = 500;

    /** Maximum time without body bytes while the caller has consumed everything that was received. */
    private static final long BODY_SILENCE_MS = 1_500;

    /** The body of a discarded response normally follows its head at once; a slot is not kept for one that does not. */
    private static final long DISCARD_TIMEOUT_MS = 500;

    /** A longer body needs credit, which only a consumer grants; a new connection costs less than reading the body. */
    private static final int MAX_DISCARDED_BYTES = FlowWindow.BYTES;

    private final EntryCall call;
    private final TrafficLoop loop;
    private final EndpointTracker tracker;
    private final Endpoint endpoint;
    private final Route route;
    private final long startedNanos = System.nanoTime();
    private final long silenceLimitMs;
    private CallStream stream = NoOpCallStream.INSTANCE;
    private long progressNanos = startedNanos;
    private long firstByteMs;
    private long unacknowledgedBytes;
    private boolean requestSent;
    private boolean responding;
    private int status;

    /** Whether the call had missed its target latency when this attempt was sent. */
    private boolean targetMissed;

    /** Whether another attempt was started beside this one. */
    private boolean hedged;

    /** Whether the endpoint's load already shows that this attempt was silent. */
    private boolean silenceRecorded;

    private boolean reachedCounted;
    private BufferedResponse buffered;
    private boolean ended;
    private ScheduledFuture<?> discardTimeout;
    private long discardedBytes;

    Attempt(EntryCall call, TrafficLoop loop, Endpoint endpoint, Route route) {
        this.call = call;
        this.loop = loop;
        this.endpoint = endpoint;
        this.route = route;
        silenceLimitMs = loop.firstByteLatency(route.name()).timeoutMs();
        tracker = loop.tracker(endpoint.id());
        tracker.callStarted();
        loop.watch(this);
    }

    /** Sends the call; the target may report a failure before this method returns. */
    void send(Frame.CallStart start) {
        requestSent = !start.hasBody();
        targetMissed = start.targetMs() <= 0;
        CallStream started = loop.target(endpoint).startBeforeDeadline(start, this);
        if (!ended) {
            stream = started;
        }
    }

    Endpoint endpoint() {
        return endpoint;
    }

    CallStream stream() {
        return stream;
    }

    boolean ended() {
        return ended;
    }

    /** Returns whether the call knows that this attempt has reached its endpoint. */
    boolean reachedCounted() {
        return reachedCounted;
    }

    /** Counts this attempt as one that has reached its endpoint. */
    void countReached() {
        if (!reachedCounted) {
            reachedCounted = true;
            call.attemptReached();
        }
    }

    /** Returns the part of the response that is held back, null if the response is passed on. */
    BufferedResponse buffered() {
        return buffered;
    }

    void setBuffered(BufferedResponse response) {
        buffered = response;
    }

    /** Returns whether the response is the endpoint's 5xx. */
    boolean isServerError() {
        return status >= MIN_SERVER_ERROR_STATUS;
    }

    void requestBody(byte[] bytes, boolean last) {
        requestSent |= last;
        progressNanos = System.nanoTime();
        stream.body(bytes, last);
    }

    /** Grants the endpoint credit for response bytes that the caller has consumed. */
    void credited(int bytes) {
        unacknowledgedBytes -= bytes;
        progressNanos = System.nanoTime();
        stream.credit(bytes);
    }

    /** Cancels the attempt and records a timeout of the endpoint. */
    void timedOut() {
        if (!ended) {
            end(Optional.of(FailureKind.TIMEOUT));
            stream.cancel();
        }
    }

    /** Cancels the attempt for a reason unrelated to the endpoint, so no outcome is recorded. */
    void abandon() {
        if (!ended) {
            finish();
            stream.cancel();
        }
    }

    /** Cancels the attempt because another one gives the response. */
    void superseded() {
        if (!ended && isServerError()) {
            end(Optional.of(FailureKind.SERVER_ERROR));
            stream.cancel();
        } else if (hedged) {
            timedOut();
        } else {
            abandon();
        }
    }

    /**
     * Starts another attempt beside this one when nothing has arrived for too long, since its connection has probably
     * lost its state. This one goes on: its endpoint may only be slow, and the other one may refuse the call.
     */
    void checkSilence(long nowNanos) {
        long silentMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - progressNanos);
        boolean silent = responding
                ? unacknowledgedBytes <= 0 && silentMs >= BODY_SILENCE_MS
                : requestSent && silentMs >= silenceLimitMs;
        if (!silent) {
            return;
        }
        Optional<EndpointChoice> next = call.nextBeside(this);
        if (next.isPresent()) {
            if (!responding) {
                loop.recordFirstByte(route.name(), silentMs);
            }
            if (!silenceRecorded) {
                silenceRecorded = true;
                tracker.recordOutcome(true, TrafficLoop.nowMs());
            }
            hedge(next.get(), "No byte for " + silentMs + " ms");
        }
    }

    private void hedge(EndpointChoice next, String reason) {
        hedged = true;
        countReached();
        call.hedge(this, next, reason);
    }

    @Override
    public void started(Frame.ResponseStart start) {
        if (ended) {
            return;
        }
        if (!HttpStatusLine.isFinal(start.status())) {
            // A node of an earlier release passes on whatever status its backend server sends.
            notGenerated("The response has no valid status");
            return;
        }
        tracker.recordLoad(start.load(), endpoint.server().slots(), TrafficLoop.nowMs());
        if (loop.protocol().refused().test(start.status(), start.headers())) {
            countReached();
            end(Optional.of(FailureKind.SHED));
            discardRemaining();
            call.attemptFailed(
                    this, CallFailures.notRun(0, ErrorCode.OVERLOADED, "The backend server refused the call"));
            return;
        }
        if (!loop.protocol().authentic().test(start.status(), start.headers())) {
            notGenerated("The response was not generated by the backend server");
            return;
        }
        status = start.status();
        responding = true;
        progressNanos = System.nanoTime();
        firstByteMs = (long) ((progressNanos - startedNanos) / NANOS_PER_MS);
        loop.recordFirstByte(route.name(), firstByteMs);
        call.started(this, start);
        // A response that is not held back has been passed on.
        if (!ended && isServerError() && buffered != null) {
            call.nextBeside(this).ifPresent(next -> hedge(next, "The backend server answered with status " + status));
        }
    }

    /** Fails the attempt with an outcome that is unknown, because its response says nothing about the call. */
    private void notGenerated(String reason) {
        end(Optional.of(FailureKind.CONNECTION_LOSS));
        stream.cancel();
        call.attemptFailed(this, CallFailures.mayHaveRun(0, ErrorCode.ANSWER_TRUNCATED, reason));
    }

    /** Reads and drops the remaining body within limits, so that the backend connection can be reused. */
    private void discardRemaining() {
        discardTimeout = loop.eventLoop().schedule(stream::cancel, DISCARD_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void remainingDiscarded(int bytes, boolean last) {
        discardedBytes += bytes;
        if (discardTimeout != null && (last || discardedBytes >= MAX_DISCARDED_BYTES)) {
            discardTimeout.cancel(false);
            // Has no effect if the call is complete.
            stream.cancel();
        }
    }

    @Override
    public void body(byte[] bytes, boolean last) {
        if (ended) {
            remainingDiscarded(bytes.length, last);
            return;
        }
        progressNanos = System.nanoTime();
        unacknowledgedBytes += bytes.length;
        if (last) {
            end(failureOfStatus(status));
        }
        call.responseBody(this, bytes, last);
    }

    @Override
    public void credit(int bytes) {
        if (!ended) {
            call.requestCredit(bytes);
        }
    }

    @Override
    public void failed(Frame.CallFailure failure) {
        if (ended) {
            return;
        }
        ErrorCode code = CallFailures.code(failure);
        if (code == ErrorCode.CONNECTION_LOST || code == ErrorCode.NO_ENDPOINT || code == ErrorCode.NOT_READY) {
            tracker.connectionFailed(TrafficLoop.nowMs());
        }
        if (failure.load() != Frame.Load.UNKNOWN) {
            tracker.recordLoad(failure.load(), endpoint.server().slots(), TrafficLoop.nowMs());
        }
        if (failure.notRun()) {
            if (code == ErrorCode.OVERLOADED && failure.estimatedWaitMs() > 0) {
                tracker.recentRefusals()
                        .recordRefusal(route.callClass(), targetMissed, failure.estimatedWaitMs(), TrafficLoop.nowMs());
            }
            // A refusal by the node's queue is no outcome of the backend server, so the tracker doesn't count it.
            finish(Optional.of(CallFailures.kind(failure)));
        } else {
            end(Optional.of(CallFailures.kind(failure)));
        }
        call.attemptFailed(this, failure);
    }

    @Override
    public void flush() {
        call.flushResponse();
    }

    private void end(Optional<FailureKind> failure) {
        boolean failed = failure.isPresent() && failure.get() != FailureKind.CALLER_ERROR;
        if (!failed || !silenceRecorded) {
            tracker.recordOutcome(failed, TrafficLoop.nowMs());
        }
        finish(failure);
    }

    private void finish(Optional<FailureKind> failure) {
        finish();
        if (loop.context().policies().peering().recordsAtBackend()) {
            return;
        }
        CallOutcomesKey key = new CallOutcomesKey(
                endpoint.server().version(),
                route.name(),
                endpoint.node().zone().name());
        CallOutcomeRecorder recorder = loop.outcomeRecorder(endpoint.server().service());
        if (failure.isPresent()) {
            recorder.recordFailure(key, failure.get());
        } else {
            recorder.recordSuccess(key, firstByteMs);
        }
    }

    private void finish() {
        ended = true;
        tracker.callEnded();
        loop.unwatch(this);
    }

    private static Optional<FailureKind> failureOfStatus(int status) {
        if (status >= 500) {
            return Optional.of(FailureKind.SERVER_ERROR);
        }
        return status >= 400 ? Optional.of(FailureKind.CALLER_ERROR) : Optional.empty();
    }
}

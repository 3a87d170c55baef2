package org.mimosahinge.daemon.traffic;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.core.admission.SlotRequest;
import org.mimosahinge.core.move.FailureKind;
import org.mimosahinge.core.pace.ColdAdmission;
import org.mimosahinge.net.frame.Frame;

/** A call at a backend server on this node. */
final class BackendCall implements CallStream, BackendConnection.Listener {

    /** Time for a refusal to reach the caller before the deadline, so that the call is reported as not run. */
    private static final long REFUSAL_LEAD_MS = 10;

    /** A call cancelled after this time without a response byte makes its reused connection suspect. */
    private static final long SUSPECT_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final String DEADLINE_PASSED = "The deadline passed before a slot became free";
    private static final String ZONE_EVACUATED = "The availability zone is evacuated";
    private static final String NO_SLOT = "No slot became free in time";

    private enum State {
        WAITING,
        CONNECTING,
        RUNNING,
        ANSWERED,
        LOST,
        ENDED
    }

    private final BackendAdmission admission;
    private final Frame.CallStart start;
    private final SlotRequest waiter;
    private final boolean late;
    private final long deadlineAtMs;
    private final ResponseObserver observer;
    private final long arrivedNanos = System.nanoTime();
    private final FlowWindow responseWindow = new FlowWindow();
    private final Queue<Frame.Body> unsentBody = new ArrayDeque<>();
    private State state = State.WAITING;
    private ScheduledFuture<?> queueTimeout;
    private BackendConnection connection;
    private long admittedAtMs;
    private long admittedNanos;
    private long sentNanos;
    private boolean responseStarted;
    private int responseStatus;
    private Map<String, String> responseHeaders = Map.of();
    private String lossReason = "";

    BackendCall(
            BackendAdmission admission,
            Frame.CallStart start,
            SlotRequest waiter,
            boolean late,
            long deadlineAtMs,
            ResponseObserver observer) {
        this.admission = admission;
        this.start = start;
        this.waiter = waiter;
        this.late = late;
        this.deadlineAtMs = deadlineAtMs;
        this.observer = observer;
    }

    /** Schedules the refusal of the call as not run if it is still queued at the latest useful start. */
    void scheduleQueueTimeout(EventLoop loop, long latestStartMs) {
        long waitMs = Math.max(0, latestStartMs - TrafficLoop.nowMs() - REFUSAL_LEAD_MS);
        queueTimeout = loop.schedule(
                () -> {
                    admission.removeFromQueue(waiter);
                    refuseNoSlot();
                },
                waitMs,
                TimeUnit.MILLISECONDS);
    }

    /** Refuses a call that is no longer queued, because no slot becomes free in time. */
    void refuseNoSlot() {
        admission.logRefusal(start, NO_SLOT, 0);
        refuse(ErrorCode.OVERLOADED, NO_SLOT, 0);
    }

    void refuse(String reason, long estimatedWaitMs) {
        refuse(ErrorCode.OVERLOADED, reason, estimatedWaitMs);
    }

    private void refuse(ErrorCode code, String reason, long estimatedWaitMs) {
        end();
        fail(new Frame.CallFailure(start.callId(), code.code(), true, reason, admission.load(), (int) estimatedWaitMs));
    }

    /** Refuses a queued call in favour of another one. */
    void refuseDisplaced(String reason) {
        admission.logRefusal(start, reason, 0);
        refuse(reason, 0);
    }

    SlotRequest waiter() {
        return waiter;
    }

    CallClass callClass() {
        return start.callClass();
    }

    /** Returns when the call got its slot. */
    long admittedAtMs() {
        return admittedAtMs;
    }

    /** Returns whether the call was likely to be late when it arrived. */
    boolean late() {
        return late;
    }

    /** Returns the probability that this run of the call is a repeat, in permille. */
    int repeatPermille() {
        return start.repeatPermille();
    }

    boolean deadlinePassed() {
        return deadlineAtMs <= TrafficLoop.nowMs();
    }

    /** Refuses a call whose deadline passed before it was sent. */
    void refuseDeadlinePassed() {
        admission.logRefusal(start, DEADLINE_PASSED, 0);
        refuse(ErrorCode.DEADLINE_EXCEEDED, DEADLINE_PASSED, 0);
    }

    /** Refuses a call to an endpoint that gets none; a sender with an older view may still choose it. */
    void refuseEvacuated() {
        admission.logRefusal(start, ZONE_EVACUATED, 0);
        refuse(ErrorCode.NO_ENDPOINT, ZONE_EVACUATED, 0);
    }

    void admitted() {
        state = State.CONNECTING;
        admittedAtMs = TrafficLoop.nowMs();
        admittedNanos = System.nanoTime();
        if (queueTimeout != null) {
            queueTimeout.cancel(false);
        }
    }

    /** Sends the call on a connection; null if the backend server accepts none. */
    void connected(BackendConnection opened) {
        if (state != State.CONNECTING) {
            if (opened != null) {
                opened.detachCall();
                admission.release(opened);
            }
            return;
        }
        if (opened == null) {
            admission.connectionRefused();
            refuse(ErrorCode.CONNECTION_LOST, "Backend server refused the connection", 0);
            return;
        }
        if (deadlinePassed()) {
            opened.detachCall();
            admission.release(opened);
            refuseDeadlinePassed();
            return;
        }
        if (admission.evacuated()) {
            opened.detachCall();
            admission.release(opened);
            refuseEvacuated();
            return;
        }
        long coldMs = admission.waitBeforeSendingMs();
        if (coldMs > 0) {
            opened.detachCall();
            admission.release(opened);
            admission.logRefusal(start, ColdAdmission.COLD, coldMs);
            refuse(ColdAdmission.COLD, coldMs);
            return;
        }
        state = State.RUNNING;
        sentNanos = System.nanoTime();
        connection = opened;
        int remainingMs = (int) Math.max(1, deadlineAtMs - TrafficLoop.nowMs());
        connection.send(
                start,
                new CallHeaders(admission.protocol(), admission.endpoint().id(), remainingMs),
                this);
        for (Frame.Body part = unsentBody.poll(); part != null; part = unsentBody.poll()) {
            connection.body(part.bytes(), part.last());
        }
        connection.flush();
    }

    @Override
    public void body(byte[] bytes, boolean last) {
        if (state == State.RUNNING) {
            connection.body(bytes, last);
        } else if (state == State.WAITING || state == State.CONNECTING) {
            unsentBody.add(new Frame.Body(start.callId(), bytes, last));
        }
    }

    @Override
    public void credit(int bytes) {
        responseWindow.granted(bytes);
        if (state == State.RUNNING && responseWindow.open()) {
            connection.setAutoRead(true);
        }
    }

    @Override
    public void cancel() {
        if (state == State.ENDED || state == State.ANSWERED) {
            return;
        }
        admission.cancelled(
                start,
                state.name().toLowerCase(Locale.ROOT),
                System.nanoTime() - arrivedNanos,
                state == State.RUNNING ? System.nanoTime() - sentNanos : 0);
        boolean connectionSuspect = state == State.RUNNING
                && !responseStarted
                && connection.reused()
                && System.nanoTime() - admittedNanos > SUSPECT_SILENCE_NANOS;
        if (state == State.RUNNING) {
            // HTTP/1.1 has no other way to cancel a request.
            connection.close();
        }
        admission.removeFromQueue(waiter);
        end();
        if (connectionSuspect) {
            admission.closeIdleConnections();
        }
    }

    @Override
    public void flush() {
        if (state == State.RUNNING) {
            connection.flush();
        }
    }

    @Override
    public void started(int status, Map<String, String> headers) {
        responseStarted = true;
        responseStatus = status;
        responseHeaders = headers;
        if (admission.protocol().refused().test(status, headers)) {
            connection.callRefused();
        }
        admission.protocol().serverLoad().apply(headers).ifPresent(admission::stated);
        Frame.Load load = admission.load();
        int reported = (int) Math.min(1000, HeaderMaps.number(headers, "x-load"));
        observer.started(new Frame.ResponseStart(
                start.callId(),
                status,
                headers,
                HeaderMaps.contentLength(headers),
                load.withPermille(Math.max(load.permille(), reported))));
    }

    @Override
    public void received(byte[] bytes, boolean last) {
        if (!last) {
            responseWindow.sent(bytes.length);
            connection.setAutoRead(responseWindow.open());
            observer.body(bytes, false);
            return;
        }
        BackendConnection used = connection;
        used.detachCall();
        // Before the last part is passed on: its receiver may cancel the call, which must not release the slot as well.
        state = State.ANSWERED;
        observer.body(bytes, true);
        observer.flush();
        admission.recordOutcome(start.callClass(), failureOfStatus(), System.nanoTime() - admittedNanos);
        // Bytes after the response may already have been read and must not be taken for the next response.
        used.runAfterRead(() -> {
            admission.release(used);
            end();
        });
    }

    private boolean refusedByBackend() {
        return admission.protocol().refused().test(responseStatus, responseHeaders);
    }

    private Optional<FailureKind> failureOfStatus() {
        if (responseStatus >= 500) {
            return Optional.of(refusedByBackend() ? FailureKind.SHED : FailureKind.SERVER_ERROR);
        }
        return responseStatus >= 400 ? Optional.of(FailureKind.CALLER_ERROR) : Optional.empty();
    }

    @Override
    public void written(int bytes) {
        observer.credit(bytes);
    }

    @Override
    public void readComplete() {
        observer.flush();
    }

    @Override
    public void connectionLost(String reason) {
        state = State.LOST;
        lossReason = reason;
        admission.connectionLost(this);
    }

    /** Fails the call after its connection was lost. */
    void resolveConnectionLoss(boolean crashed, boolean firstOfCrash) {
        if (state != State.LOST) {
            return;
        }
        end();
        admission.logConnectionLost(start, crashed, lossReason, System.nanoTime() - admittedNanos);
        admission.recordOutcome(
                start.callClass(),
                Optional.of(crashed ? FailureKind.CRASH : FailureKind.CONNECTION_LOSS),
                System.nanoTime() - admittedNanos);
        String code;
        if (crashed) {
            code = firstOfCrash ? CallFailures.CRASHED : CallFailures.CRASH_COLLATERAL;
        } else {
            code = (responseStarted ? ErrorCode.ANSWER_TRUNCATED : ErrorCode.CONNECTION_LOST).code();
        }
        fail(new Frame.CallFailure(start.callId(), code, false, lossReason));
    }

    private void fail(Frame.CallFailure failure) {
        observer.failed(failure);
        observer.flush();
    }

    private void end() {
        State before = state;
        if (before == State.ENDED) {
            return;
        }
        state = State.ENDED;
        connection = null;
        unsentBody.clear();
        if (queueTimeout != null) {
            queueTimeout.cancel(false);
        }
        if (before == State.CONNECTING) {
            admission.releaseUnusedSlot(this);
        } else if (before == State.ANSWERED && !refusedByBackend()) {
            admission.releaseSlot(this, System.nanoTime() - admittedNanos);
        } else if (before != State.WAITING) {
            admission.releaseSlotOfUnfinished(this, System.nanoTime() - admittedNanos);
        } else {
            admission.endedWithoutSlot(this);
        }
    }
}

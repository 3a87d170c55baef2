package org.mimosahinge.daemon.traffic;

import java.util.Optional;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.core.move.EvidenceKey;
import org.mimosahinge.core.move.EvidenceRecorder;
import org.mimosahinge.core.move.FailureKind;
import org.mimosahinge.net.frame.Frame;

/** One attempt of a call at one endpoint; forwards to the call until it ends or is given up. */
final class Attempt implements ResponseObserver {

    private static final double NANOS_PER_MS = 1e6;

    private final EntryCall call;
    private final TrafficLoop loop;
    private final EndpointTracker tracker;
    private final Endpoint endpoint;
    private final String route;
    private final long startedNanos = System.nanoTime();
    private Exchange exchange = EndedExchange.INSTANCE;
    private long responseNanos;
    private int status;
    private boolean ended;

    Attempt(EntryCall call, TrafficLoop loop, Endpoint endpoint, String route) {
        this.call = call;
        this.loop = loop;
        this.endpoint = endpoint;
        this.route = route;
        tracker = loop.tracker(endpoint.id());
        tracker.started();
    }

    /** Sends the call; a target may fail it before this method returns. */
    void begin(Frame.CallStart start) {
        Exchange started = loop.target(endpoint).start(start, this);
        if (ended) {
            return;
        }
        exchange = started;
    }

    Exchange exchange() {
        return exchange;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    boolean ended() {
        return ended;
    }

    /** Gives the attempt up because the endpoint took too long. */
    void timedOut() {
        if (!ended) {
            end(Optional.of(FailureKind.TIMEOUT));
            exchange.cancel();
        }
    }

    /** Gives the attempt up for a reason that says nothing about the endpoint. */
    void abandon() {
        if (!ended) {
            finish();
            exchange.cancel();
        }
    }

    @Override
    public void started(Frame.ResponseStart start) {
        if (ended) {
            return;
        }
        tracker.reported(start.loadPermille(), TrafficLoop.nowMs());
        status = start.status();
        responseNanos = System.nanoTime();
        call.started(this, start);
    }

    @Override
    public void body(byte[] bytes, boolean last) {
        if (ended) {
            return;
        }
        if (last) {
            end(ofStatus(status));
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
        end(Optional.of(Failures.kind(failure)));
        call.attemptFailed(this, failure);
    }

    @Override
    public void flush() {
        call.flushResponse();
    }

    private void end(Optional<FailureKind> failure) {
        finish();
        EvidenceKey key = new EvidenceKey(
                endpoint.server().version(), route, endpoint.node().zone().name());
        EvidenceRecorder recorder = loop.evidence(endpoint.server().service());
        if (failure.isPresent()) {
            recorder.failed(key, failure.get());
        } else {
            recorder.succeeded(key, (responseNanos - startedNanos) / NANOS_PER_MS);
        }
    }

    private void finish() {
        ended = true;
        tracker.ended();
    }

    private static Optional<FailureKind> ofStatus(int status) {
        if (status >= 500) {
            return Optional.of(FailureKind.SERVER_ERROR);
        }
        return status >= 400 ? Optional.of(FailureKind.CALLER_ERROR) : Optional.empty();
    }
}

package org.mimosahinge.daemon.traffic;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.error.CallException;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.core.routing.Choice;
import org.mimosahinge.core.routing.ChoiceRequest;
import org.mimosahinge.core.routing.RouteMatcher;
import org.mimosahinge.core.routing.VersionPicker;
import org.mimosahinge.net.frame.Frame;

/** A caller's call at the node that the caller is connected to. */
final class EntryCall {

    private final TrafficLoop loop;
    private final CallRequest request;
    private final CallerSink sink;
    private final RequestBody body = new RequestBody();
    private final Set<String> tried = new HashSet<>();
    private Route route;
    private Service service;
    private long deadlineNanos;
    private ScheduledFuture<?> timer;
    private Attempt attempt;
    private boolean responseStarted;
    private boolean ended;

    EntryCall(TrafficLoop loop, CallRequest request, CallerSink sink) {
        this.loop = loop;
        this.request = request;
        this.sink = sink;
    }

    /** Routes the call. */
    void begin() {
        Snapshot snapshot = loop.snapshot();
        if (!snapshot.provenCurrent()) {
            refuse(ErrorCode.NOT_READY, "The node has no proof that its configuration is current");
            return;
        }
        Optional<Route> matched = RouteMatcher.match(snapshot.routes(), request.uri());
        if (matched.isEmpty()) {
            refuse(ErrorCode.NO_ROUTE, "No route matches " + RouteMatcher.path(request.uri()));
            return;
        }
        route = matched.get();
        service = snapshot.services().get(route.service());
        long timeoutMs = route.timeout().toMillis();
        deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        timer = loop.eventLoop().schedule(this::deadlinePassed, timeoutMs, TimeUnit.MILLISECONDS);
        attempt(snapshot);
    }

    private void attempt(Snapshot snapshot) {
        Optional<Choice> choice = VersionPicker.pick(
                        service, snapshot, loop.context().random())
                .flatMap(version -> loop.context()
                        .chooser()
                        .choose(
                                new ChoiceRequest(
                                        service.name(),
                                        version,
                                        loop.context().config().self().zone(),
                                        tried),
                                snapshot,
                                loop::load,
                                loop.context().random()));
        if (choice.isEmpty()) {
            refuse(ErrorCode.NO_ENDPOINT, "No endpoint of service \"" + service.name() + "\" can take the call");
            return;
        }
        loop.logChoice(route, choice.get());
        Attempt next = new Attempt(this, loop, choice.get().endpoint(), route.name());
        tried.add(next.endpoint().id());
        attempt = next;
        next.begin(new Frame.CallStart(
                loop.nextCallId(),
                next.endpoint().id(),
                service.name(),
                route.callClass(),
                remainingMs(),
                request.method(),
                request.uri(),
                request.headers(),
                request.hasBody()));
        if (!next.ended()) {
            body.replay(next.exchange());
            next.exchange().flush();
        }
    }

    private int remainingMs() {
        return (int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()));
    }

    /** Takes part of the request's body from the caller. */
    void requestBody(byte[] bytes, boolean last) {
        body.add(bytes, last);
        if (attempt != null && !attempt.ended()) {
            attempt.exchange().body(bytes, last);
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
            attempt.exchange().credit(bytes);
        }
    }

    /** The caller has left. */
    void callerLeft() {
        if (end() && attempt != null) {
            attempt.abandon();
        }
    }

    void started(Attempt from, Frame.ResponseStart start) {
        if (from == attempt && !ended) {
            responseStarted = true;
            sink.started(start);
        }
    }

    void responseBody(Attempt from, byte[] bytes, boolean last) {
        if (from != attempt || ended) {
            return;
        }
        if (last) {
            end();
        }
        sink.body(bytes, last);
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

    void attemptFailed(Attempt from, Frame.CallFailure failure) {
        if (from == attempt && !ended) {
            fail(Failures.exception(failure));
        }
    }

    private void deadlinePassed() {
        if (!ended) {
            if (attempt != null) {
                attempt.timedOut();
            }
            fail(CallException.mayHaveRun(ErrorCode.DEADLINE_EXCEEDED, "The deadline passed"));
        }
    }

    private void refuse(ErrorCode code, String message) {
        fail(CallException.notRun(code, message));
    }

    private void fail(CallException failure) {
        end();
        if (responseStarted) {
            sink.cut();
        } else {
            sink.failed(failure);
        }
    }

    private boolean end() {
        boolean first = !ended;
        ended = true;
        if (timer != null) {
            timer.cancel(false);
        }
        return first;
    }
}

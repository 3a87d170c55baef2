package org.mimosahinge.daemon.traffic;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.core.retry.RetryView;
import org.mimosahinge.core.routing.EndpointChoice;
import org.mimosahinge.core.routing.EndpointChoiceRequest;
import org.mimosahinge.core.routing.EndpointFilter;
import org.mimosahinge.net.frame.Frame;

/** Where a routed call goes: its attempts so far and the choice of the next one. */
final class CallPlan {

    private final TrafficLoop loop;
    private final CallRequest request;
    private final RequestBody body;
    private final Route route;
    private final Service service;
    private final long deadlineNanos;
    private final long startedNanos;
    private final long waitedMs;
    private final Set<String> tried = new HashSet<>();
    private int reached;
    private long roomInMs;

    CallPlan(TrafficLoop loop, CallRequest request, RequestBody body, Route route, Service service, CallTimes times) {
        this.loop = loop;
        this.request = request;
        this.body = body;
        this.route = route;
        this.service = service;
        waitedMs = times.waitedMs();
        startedNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(times.spentMs());
        deadlineNanos = startedNanos + TimeUnit.MILLISECONDS.toNanos(times.deadlineMs());
    }

    Service service() {
        return service;
    }

    Route route() {
        return route;
    }

    int attempts() {
        return tried.size();
    }

    /** Chooses an endpoint that was not tried yet and has not refused calls like this one a moment ago. */
    Optional<EndpointChoice> choose() {
        Snapshot snapshot = loop.snapshot();
        Set<String> excluded = excluded(snapshot);
        TrafficPolicies policies = loop.context().policies();
        for (EndpointFilter rule : policies.rules().select(service, snapshot, policies.random())) {
            EndpointChoiceRequest wanted = new EndpointChoiceRequest(
                    service.name(),
                    rule,
                    loop.context().config().self().zone(),
                    excluded,
                    loop.sizes().expectedKb(route.name()));
            Optional<EndpointChoice> choice =
                    policies.chooser().choose(wanted, snapshot, loop::load, policies.random());
            if (choice.isPresent()) {
                return choice;
            }
        }
        return Optional.empty();
    }

    private Set<String> excluded(Snapshot snapshot) {
        long now = TrafficLoop.nowMs();
        roomInMs = 0;
        Set<String> excluded = null;
        for (Endpoint endpoint : snapshot.endpoints().getOrDefault(service.name(), List.of())) {
            long room = loop.tracker(endpoint.id()).refusedCalls().estimatedWaitMs(route.callClass(), late(), now);
            if (room > 0) {
                excluded = excluded == null ? new HashSet<>(tried) : excluded;
                excluded.add(endpoint.id());
                roomInMs = roomInMs == 0 ? room : Math.min(roomInMs, room);
            }
        }
        return excluded == null ? tried : excluded;
    }

    /** Returns the time after which an endpoint passed over by the last choice may have room, 0 without one. */
    long roomInMs() {
        return roomInMs;
    }

    /** Time that the caller waited in earlier attempts. */
    long waitedMs() {
        return waitedMs;
    }

    /** Tells whether the call has missed its target latency. */
    boolean late() {
        return targetMs() <= 0;
    }

    /** Takes note that an attempt has reached its endpoint. */
    void reached() {
        reached++;
    }

    boolean hasReached() {
        return reached > 0;
    }

    /** Tells whether a failed attempt may be followed by another one. */
    boolean mayRetry(boolean notRun) {
        boolean idempotent = route.idempotent() && !route.atMostOnce();
        RetryView view = new RetryView(
                idempotent,
                notRun,
                tried.size(),
                body.replayable(),
                remainingMs(),
                loop.budgets().of(service),
                reached,
                route.maxAttempts());
        return loop.context().policies().retry().shouldRetry(view);
    }

    Attempt attempt(EntryCall call, EndpointChoice choice) {
        loop.logChoice(route, choice);
        tried.add(choice.endpoint().id());
        return new Attempt(call, loop, choice.endpoint(), route);
    }

    void send(Attempt attempt, Map<String, String> headers) {
        attempt.begin(new Frame.CallStart(
                loop.nextCallId(),
                attempt.endpoint().id(),
                service.name(),
                route.callClass(),
                (int) remainingMs(),
                (int) targetMs(),
                request.method(),
                request.uri(),
                headers,
                request.hasBody(),
                0));
        if (!attempt.ended()) {
            body.replay(attempt);
            attempt.exchange().flush();
        }
    }

    /** Returns what is left of the target latency, which counts from the caller's first attempt. */
    long targetMs() {
        return route.targetLatency().toMillis() - waitedMs - elapsedMs();
    }

    long elapsedMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    }

    private long remainingMs() {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()));
    }
}

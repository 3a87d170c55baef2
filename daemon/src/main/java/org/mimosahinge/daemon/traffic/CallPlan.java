package org.mimosahinge.daemon.traffic;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.core.retry.RetryView;
import org.mimosahinge.core.retry.RunningRepeats;
import org.mimosahinge.core.routing.EndpointChoice;
import org.mimosahinge.core.routing.EndpointChoiceRequest;
import org.mimosahinge.core.routing.EndpointFilter;
import org.mimosahinge.core.routing.PermittedPlaces;
import org.mimosahinge.net.frame.Frame;

/** State of a routed call: the endpoints tried so far, its deadline and the choice of the next endpoint. */
final class CallPlan {

    private final TrafficLoop loop;
    private final CallRequest request;
    private final RequestBody body;
    private final Route route;
    private final Service service;
    private final Set<String> organisationRegions;
    private final long deadlineNanos;
    private final long startedNanos;
    private final long earlierAttemptsMs;
    private final Set<String> triedEndpoints = new HashSet<>();
    private int reachedAttempts;
    private int inheritedPermille;
    private long estimatedWaitMs;

    CallPlan(
            TrafficLoop loop,
            CallRequest request,
            RequestBody body,
            Route route,
            Service service,
            CallTimes times,
            Set<String> organisationRegions) {
        this.loop = loop;
        this.request = request;
        this.body = body;
        this.route = route;
        this.service = service;
        this.organisationRegions = organisationRegions;
        earlierAttemptsMs = times.earlierAttemptsMs();
        startedNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(times.elapsedMs());
        deadlineNanos = startedNanos + TimeUnit.MILLISECONDS.toNanos(times.deadlineMs());
    }

    Service service() {
        return service;
    }

    Route route() {
        return route;
    }

    int attempts() {
        return triedEndpoints.size();
    }

    /** Chooses an endpoint that was not tried yet and has not recently refused similar calls. */
    Optional<EndpointChoice> choose() {
        Snapshot snapshot = loop.snapshot();
        PermittedPlaces places = places(snapshot);
        Set<String> excluded = excluded(snapshot, places);
        TrafficPolicies policies = loop.context().policies();
        for (EndpointFilter filter : policies.filters().select(service, snapshot, policies.random())) {
            EndpointChoiceRequest choiceRequest = new EndpointChoiceRequest(
                    service.name(),
                    places.everywhere() ? filter : filter.and(places),
                    loop.context().config().self().zone(),
                    excluded,
                    loop.sizes().expectedKb(route.name()),
                    () -> loop.workingSets().order(service.name(), snapshot),
                    patienceMs());
            Optional<EndpointChoice> choice =
                    policies.chooser().choose(choiceRequest, snapshot, loop::load, policies.random());
            if (choice.isPresent()) {
                return choice;
            }
        }
        return Optional.empty();
    }

    /** Returns the time that the call may take at no loss; a call that waits for an internal check loses by any delay. */
    private long patienceMs() {
        return route.callClass() == CallClass.INTERNAL_CHECK ? 0 : targetMs();
    }

    private PermittedPlaces places(Snapshot snapshot) {
        return new PermittedPlaces(
                route.access().regions(), organisationRegions, snapshot.rules().evacuatedZones());
    }

    /** Returns why the last choice found no endpoint. */
    String noEndpointReason() {
        PermittedPlaces places = places(loop.snapshot());
        String reason = "No endpoint of service \"" + service.name() + "\" can take the call";
        return places.everywhere()
                ? reason
                : reason + "; regions of the route " + places.routeRegions() + ", of the organisation "
                        + places.organisationRegions() + ", evacuated zones " + places.evacuatedZones();
    }

    private Set<String> excluded(Snapshot snapshot, PermittedPlaces places) {
        long now = TrafficLoop.nowMs();
        estimatedWaitMs = 0;
        Set<String> excluded = null;
        for (Endpoint endpoint : snapshot.endpoints().getOrDefault(service.name(), List.of())) {
            if (!places.admits(endpoint)) {
                continue;
            }
            long waitMs = loop.tracker(endpoint.id())
                    .recentRefusals()
                    .estimatedWaitMs(route.callClass(), targetMissed(), now);
            if (waitMs > 0) {
                excluded = excluded == null ? new HashSet<>(triedEndpoints) : excluded;
                excluded.add(endpoint.id());
                estimatedWaitMs = estimatedWaitMs == 0 ? waitMs : Math.min(estimatedWaitMs, waitMs);
            }
        }
        return excluded == null ? triedEndpoints : excluded;
    }

    /**
     * Returns the estimated time until an endpoint that the last choice excluded for its refusals has a free slot, or 0
     * if none was excluded.
     */
    long estimatedWaitMs() {
        return estimatedWaitMs;
    }

    /** Returns the time that the caller spent in earlier attempts of its own. */
    long earlierAttemptsMs() {
        return earlierAttemptsMs;
    }

    /** Returns whether the call has missed its target latency. */
    boolean targetMissed() {
        return targetMs() <= 0;
    }

    /** Counts the first attempt, which is a repeat already if the call was made by one. */
    void countFirstAttempt() {
        // Only backend servers make internal checks; all other calls come from outside the mesh.
        if (route.callClass() == CallClass.INTERNAL_CHECK) {
            inheritedPermille = loop.context().runningRepeats().repeatPermille();
        }
        loop.retryBudgets().attempted(service, inheritedPermille, TrafficLoop.nowMs());
    }

    /** Counts an attempt that has reached its endpoint. */
    void attemptReached() {
        reachedAttempts++;
    }

    boolean hasReachedEndpoint() {
        return reachedAttempts > 0;
    }

    /** Returns whether a failed attempt may be retried. */
    boolean mayRetry(boolean notRun) {
        return mayRetry(notRun, reachedAttempts);
    }

    /** Returns whether another attempt may be made beside a running one, which has probably reached its endpoint. */
    boolean mayRetryBeside(Attempt running) {
        return mayRetry(false, running.reachedCounted() ? reachedAttempts : reachedAttempts + 1);
    }

    private boolean mayRetry(boolean notRun, int reached) {
        boolean idempotent = route.idempotent() && !route.atMostOnce();
        RetryView view = new RetryView(
                idempotent,
                notRun,
                triedEndpoints.size(),
                body.replayable(),
                remainingMs(),
                loop.retryBudgets().of(service),
                reached,
                route.maxAttempts());
        return loop.context().policies().retry().shouldRetry(view);
    }

    Attempt newAttempt(EntryCall call, EndpointChoice choice) {
        loop.recordChoice(route, choice);
        triedEndpoints.add(choice.endpoint().id());
        return new Attempt(call, loop, choice.endpoint(), route);
    }

    void send(Attempt attempt, Map<String, String> headers) {
        attempt.send(new Frame.CallStart(
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
                0,
                hasReachedEndpoint() ? RunningRepeats.CERTAIN_PERMILLE : inheritedPermille));
        if (!attempt.ended()) {
            body.replay(attempt);
            attempt.stream().flush();
        }
    }

    /** Returns the remainder of the target latency, which is measured from the caller's first attempt. */
    long targetMs() {
        return route.targetLatency().toMillis() - earlierAttemptsMs - elapsedMs();
    }

    long elapsedMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    }

    private long remainingMs() {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()));
    }
}

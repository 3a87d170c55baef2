package org.mimosahinge.daemon.traffic;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.contract.ServiceLimits;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.core.move.CallOutcomeRecorder;
import org.mimosahinge.core.move.CallOutcomes;
import org.mimosahinge.core.retry.FirstByteLatency;
import org.mimosahinge.core.retry.RetryBudgets;
import org.mimosahinge.core.routing.EndpointChoice;
import org.mimosahinge.core.routing.EndpointLoad;
import org.mimosahinge.core.routing.RouteIndex;
import org.mimosahinge.core.routing.WeightedRoundRobin;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.log.EventLog;

/** State of one event loop and its calls; accessed by this thread only. */
final class TrafficLoop {

    private static final EventLog LOG = EventLog.of("traffic");

    /** Short compared to the 2 s within which a faulty version must no longer receive calls. */
    private static final long REPORT_INTERVAL_MS = 100;

    /** Short compared to the silence limits of attempts, and long enough to cost next to nothing. */
    private static final long SILENCE_CHECK_MS = 250;

    /** Number of trackers at which those of removed endpoints are dropped. */
    private static final int MAX_TRACKERS = 1_000;

    /** Idle callers cost little, so a coarse check suffices. */
    private static final long CALLER_CHECK_MS = 1_000;

    /** A reset connection is replaced at once; an unreachable machine is retried about every two seconds. */
    private static final long FIRST_REDIAL_MS = 20;

    private static final int MAX_REDIAL_DOUBLINGS = 7;
    private static final long MAX_REDIAL_MS = 2_000;

    private final TrafficPlane plane;
    private final EventLoop eventLoop;
    private final Map<HostPort, OutboundPeerConnection> outbound = new HashMap<>();
    private final Map<String, BackendAdmission> admissions = new HashMap<>();
    private final Map<String, EndpointTracker> trackers = new HashMap<>();
    private final Map<String, CallOutcomeRecorder> outcomeRecorders = new HashMap<>();
    private final Map<String, FirstByteLatency> firstByteLatencies = new HashMap<>();
    private final Set<Attempt> watchedAttempts = new HashSet<>();
    private final Set<Drainable> connections = new HashSet<>();
    private final Set<InboundPeerConnection> inbound = new HashSet<>();
    private final Map<HostPort, Integer> failedDials = new HashMap<>();
    private final RetryBudgets retryBudgets = new RetryBudgets();
    private final WeightedRoundRobin roundRobin = new WeightedRoundRobin();
    private final WorkingSets workingSets;
    private final ExchangeSizes sizes = new ExchangeSizes();
    private final HeartbeatTimer heartbeatTimer;
    private final CallerDeadlines callerDeadlines = new CallerDeadlines();
    private final CallLog callLog;
    private final LoopClock clock = new LoopClock();
    private final LoopDelayMonitor delayMonitor;
    private RouteIndex routes = RouteIndex.of(List.of());
    private Set<HostPort> maintainedPeers = Set.of();
    private long lastCallId;
    private long lastConnectionId;
    private long choiceCount;

    TrafficLoop(TrafficPlane plane, EventLoop eventLoop) {
        this.plane = plane;
        this.eventLoop = eventLoop;
        workingSets = new WorkingSets(plane.context().config().self());
        heartbeatTimer = new HeartbeatTimer(eventLoop);
        callLog = new CallLog(
                this, plane.context().metrics(), plane.context().config().logEvery());
        delayMonitor = new LoopDelayMonitor(eventLoop, clock, context().metrics());
        eventLoop.scheduleWithFixedDelay(this::checkCallers, CALLER_CHECK_MS, CALLER_CHECK_MS, TimeUnit.MILLISECONDS);
    }

    TrafficPlane plane() {
        return plane;
    }

    CallProtocol protocol() {
        return context().config().protocol();
    }

    WeightedRoundRobin roundRobin() {
        return roundRobin;
    }

    WorkingSets workingSets() {
        return workingSets;
    }

    ExchangeSizes sizes() {
        return sizes;
    }

    HeartbeatTimer heartbeatTimer() {
        return heartbeatTimer;
    }

    CallerDeadlines callerDeadlines() {
        return callerDeadlines;
    }

    CallLog callLog() {
        return callLog;
    }

    LoopClock clock() {
        return clock;
    }

    LoopDelayMonitor delayMonitor() {
        return delayMonitor;
    }

    /** Returns the connections that other nodes have opened. */
    Set<InboundPeerConnection> inbound() {
        return inbound;
    }

    /** Returns the route index of a snapshot, which is rebuilt when the routes change. */
    RouteIndex routes(Snapshot snapshot) {
        List<Route> inForce = snapshot.routes();
        if (!routes.isBuiltFrom(inForce)) {
            routes = RouteIndex.of(inForce);
        }
        return routes;
    }

    /** Sets the header with the calling service, which overrides the caller's own. */
    Map<String, String> withCallerService(Map<String, String> headers) {
        if (!protocol().callerHeader().isEmpty()) {
            headers.put(protocol().callerHeader(), protocol().callerService().get());
        }
        return headers;
    }

    private void checkCallers() {
        closeIdleCallers(snapshot().callerLimits().idleTimeout().toMillis());
        long now = nowMs();
        long notRead = connections.stream()
                .filter(connection ->
                        connection instanceof CallerConnection caller && caller.logIfNotRead(now, CALLER_CHECK_MS))
                .count();
        context().metrics().callersNotRead(this, notRead);
    }

    /** Closes idle connections of callers and returns how many connections a planned shutdown still has to wait for. */
    int closeIdleCallers(long silenceMs) {
        long now = nowMs();
        int open = 0;
        for (Drainable connection : List.copyOf(connections)) {
            if (connection instanceof CallerConnection caller) {
                open += caller.closeIfIdle(now, silenceMs) ? 0 : 1;
            } else {
                open += connection.busy() ? 1 : 0;
            }
        }
        return open;
    }

    /** Returns the number of calls in the queue of a backend server on this node. */
    int waitingCalls(String endpointId) {
        BackendAdmission admission = admissions.get(endpointId);
        return admission == null ? 0 : admission.waitingCalls();
    }

    /** Ends all calls in flight; those in a queue of this node's backend servers are refused as not run. */
    void endCalls() {
        List.copyOf(admissions.values()).forEach(BackendAdmission::refuseWaiting);
        List.copyOf(connections).forEach(Drainable::endCalls);
    }

    long nextConnectionId() {
        return ++lastConnectionId;
    }

    /** Maintains connections to these nodes; connections to others are not closed. */
    void maintainPeers(Set<HostPort> addresses) {
        maintainedPeers = Set.copyOf(addresses);
        failedDials.keySet().retainAll(maintainedPeers);
        maintainedPeers.forEach(this::outbound);
    }

    /** Opens a connection again after an exponential backoff with jitter. */
    void redial(HostPort address) {
        if (!maintainedPeers.contains(address)) {
            return;
        }
        int failures = failedDials.merge(address, 1, Integer::sum);
        long waitMs = Math.min(MAX_REDIAL_MS, FIRST_REDIAL_MS << Math.min(failures - 1, MAX_REDIAL_DOUBLINGS));
        long jitteredMs = waitMs / 2 + context().policies().random().nextInt((int) waitMs);
        eventLoop.schedule(
                () -> {
                    if (maintainedPeers.contains(address)) {
                        outbound(address);
                    }
                },
                jitteredMs,
                TimeUnit.MILLISECONDS);
    }

    void dialSucceeded(HostPort address) {
        failedDials.remove(address);
    }

    TrafficContext context() {
        return plane.context();
    }

    EventLoop eventLoop() {
        return eventLoop;
    }

    RetryBudgets retryBudgets() {
        return retryBudgets;
    }

    /** Returns the inbound connections of callers and nodes, which a drain waits for. */
    Set<Drainable> connections() {
        return connections;
    }

    Snapshot snapshot() {
        return context().snapshots().get();
    }

    long nextCallId() {
        return ++lastCallId;
    }

    static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    Frame.Hello hello() {
        Snapshot snapshot = snapshot();
        return new Frame.Hello(
                Frame.Purpose.CALLS, context().config().self(), plane.revision(), snapshot.provenCurrent(), Set.of());
    }

    /** Returns the target of calls to an endpoint. */
    CallTarget target(Endpoint endpoint) {
        return isLocal(endpoint)
                ? ownedTarget(endpoint)
                : outbound(endpoint.node().address());
    }

    /** Returns the target on this node of a call from another node, or one that refuses the call. */
    CallTarget localTarget(Frame.CallStart start) {
        for (Endpoint endpoint : snapshot().endpoints().getOrDefault(start.service(), List.of())) {
            if (endpoint.id().equals(start.endpointId())
                    && endpoint.state() == EndpointState.READY
                    && isLocal(endpoint)) {
                return ownedTarget(endpoint);
            }
        }
        return (refused, observer) -> {
            observer.failed(CallFailures.notRun(
                    refused.callId(),
                    ErrorCode.NO_ENDPOINT,
                    "Endpoint " + refused.endpointId() + " is not known or not ready on this node"));
            observer.flush();
            return NoOpCallStream.INSTANCE;
        };
    }

    private boolean isLocal(Endpoint endpoint) {
        return endpoint.node().id().equals(context().config().self().id());
    }

    /** The slots of an endpoint are owned by one event loop, so that they need no lock. */
    private CallTarget ownedTarget(Endpoint endpoint) {
        TrafficLoop owner = plane.owner(endpoint.id());
        if (owner == this) {
            return admission(endpoint);
        }
        return new CrossLoopTarget(eventLoop, owner.eventLoop, (start, observer) -> owner.admission(endpoint)
                .start(start, observer));
    }

    private BackendAdmission admission(Endpoint endpoint) {
        if (!admissions.containsKey(endpoint.id())) {
            // A restarted backend server is a new endpoint; without this, admissions of earlier ones would accumulate.
            Set<String> current = currentEndpointIds();
            admissions.entrySet().removeIf(entry -> entry.getValue().idle() && !current.contains(entry.getKey()));
        }
        Service service = snapshot().services().get(endpoint.server().service());
        return admissions
                .computeIfAbsent(endpoint.id(), id -> new BackendAdmission(this, endpoint))
                .update(endpoint, service == null ? ServiceLimits.DEFAULT : service.limits());
    }

    private OutboundPeerConnection outbound(HostPort address) {
        OutboundPeerConnection connection = outbound.get(address);
        if (connection == null || !connection.usable() && !connection.draining()) {
            connection = OutboundPeerConnection.open(this, address);
            outbound.put(address, connection);
        }
        return connection;
    }

    /** Removes a connection that is closed or accepts no more calls. */
    void remove(HostPort address, OutboundPeerConnection connection) {
        outbound.remove(address, connection);
    }

    /** Returns the recorder of a service; outcomes are reported in batches, since a report wakes the control thread. */
    CallOutcomeRecorder outcomeRecorder(String service) {
        if (outcomeRecorders.isEmpty()) {
            eventLoop.schedule(this::report, REPORT_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
        return outcomeRecorders.computeIfAbsent(service, key -> new CallOutcomeRecorder());
    }

    private void report() {
        Map<String, CallOutcomes> outcomes = new HashMap<>();
        outcomeRecorders.forEach((service, recorder) -> outcomes.put(service, recorder.drain()));
        outcomeRecorders.clear();
        context().listener().on(new TrafficEvent.CallEvidence(outcomes));
    }

    /** Checks an attempt for silence until it ends. */
    void watch(Attempt attempt) {
        if (watchedAttempts.isEmpty()) {
            eventLoop.schedule(this::checkSilence, SILENCE_CHECK_MS, TimeUnit.MILLISECONDS);
        }
        watchedAttempts.add(attempt);
    }

    void unwatch(Attempt attempt) {
        watchedAttempts.remove(attempt);
    }

    private void checkSilence() {
        long now = System.nanoTime();
        List.copyOf(watchedAttempts).forEach(attempt -> attempt.checkSilence(now));
        if (!watchedAttempts.isEmpty()) {
            eventLoop.schedule(this::checkSilence, SILENCE_CHECK_MS, TimeUnit.MILLISECONDS);
        }
    }

    FirstByteLatency firstByteLatency(String route) {
        return firstByteLatencies.getOrDefault(route, FirstByteLatency.UNKNOWN);
    }

    void recordFirstByte(String route, double firstByteMs) {
        firstByteLatencies.put(route, firstByteLatency(route).withSample(firstByteMs));
    }

    /** Counts a routing decision and logs one in {@link TrafficConfig#logEvery()}. */
    void recordChoice(Route route, EndpointChoice choice) {
        context().metrics().chosen(choice);
        int every = context().config().logEvery();
        if (every > 0 && choiceCount++ % every == 0) {
            LOG.info(
                    "route",
                    "route",
                    route.name(),
                    "service",
                    route.firstService(),
                    "version",
                    choice.endpoint().server().version(),
                    "endpoint",
                    choice.endpoint().id(),
                    "proximity",
                    choice.proximity(),
                    "candidates",
                    choice.candidates(),
                    "reason",
                    choice.reason().name().toLowerCase(Locale.ROOT),
                    "report_age_ms",
                    choice.reportAgeMs() == Long.MAX_VALUE ? -1 : choice.reportAgeMs());
        }
    }

    EndpointTracker tracker(String endpointId) {
        if (trackers.size() >= MAX_TRACKERS && !trackers.containsKey(endpointId)) {
            Set<String> current = currentEndpointIds();
            trackers.entrySet().removeIf(entry -> entry.getValue().idle() && !current.contains(entry.getKey()));
        }
        return trackers.computeIfAbsent(endpointId, id -> new EndpointTracker(nowMs()));
    }

    private Set<String> currentEndpointIds() {
        Set<String> ids = new HashSet<>();
        snapshot().endpoints().values().forEach(list -> list.forEach(endpoint -> ids.add(endpoint.id())));
        return ids;
    }

    EndpointLoad load(Endpoint endpoint) {
        EndpointTracker tracker = tracker(endpoint.id());
        if (isLocal(endpoint)) {
            return tracker.load(nowMs(), true, 0);
        }
        OutboundPeerConnection peer = outbound.get(endpoint.node().address());
        boolean reachable = !context().policies().peering().maintainsPeers() || peer != null && peer.connected();
        return tracker.load(nowMs(), reachable, peer == null ? 0 : peer.roundTripMs());
    }

    /** Sends a frame on the outbound connection to a node; dropped if there is none. */
    void sendToOutbound(HostPort address, Frame frame) {
        OutboundPeerConnection peer = outbound.get(address);
        if (peer != null) {
            peer.send(frame);
        }
    }
}

package org.mimosahinge.daemon.traffic;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.core.move.Evidence;
import org.mimosahinge.core.move.EvidenceRecorder;
import org.mimosahinge.core.routing.Choice;
import org.mimosahinge.core.routing.EndpointLoad;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.log.EventLog;

/** State of the calls on one event loop; no other thread touches it. */
final class TrafficLoop {

    private static final EventLog LOG = EventLog.of("traffic");

    /** Short against the 2 s within which a bad version must lose its calls. */
    private static final long REPORT_INTERVAL_MS = 100;

    private final TrafficContext context;
    private final EventLoop eventLoop;
    private final Map<HostPort, PeerConnection> peers = new HashMap<>();
    private final Map<String, BackendGate> gates = new HashMap<>();
    private final Map<String, EndpointTracker> trackers = new HashMap<>();
    private final Map<String, EvidenceRecorder> recorders = new HashMap<>();
    private long lastCallId;
    private long choices;

    TrafficLoop(TrafficContext context, EventLoop eventLoop) {
        this.context = context;
        this.eventLoop = eventLoop;
    }

    TrafficContext context() {
        return context;
    }

    EventLoop eventLoop() {
        return eventLoop;
    }

    Snapshot snapshot() {
        return context.snapshots().get();
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
                Frame.Purpose.CALLS, context.config().self(), snapshot.version(), snapshot.provenCurrent(), Set.of());
    }

    /** Finds where calls for an endpoint are sent. */
    CallTarget target(Endpoint endpoint) {
        return endpoint.node().id().equals(context.config().self().id()) ? gate(endpoint) : peer(endpoint);
    }

    /** Finds the backend server beside this node for a call from another node. */
    CallTarget beside(Frame.CallStart start) {
        for (Endpoint endpoint : snapshot().endpoints().getOrDefault(start.service(), List.of())) {
            if (endpoint.id().equals(start.endpointId())
                    && endpoint.state() == EndpointState.READY
                    && endpoint.node().id().equals(context.config().self().id())) {
                return gate(endpoint);
            }
        }
        return refusing(ErrorCode.NO_ENDPOINT, "Endpoint " + start.endpointId() + " takes no calls here");
    }

    static CallTarget refusing(ErrorCode code, String message) {
        return (start, observer) -> {
            observer.failed(Failures.notRun(start.callId(), code, message));
            observer.flush();
            return EndedExchange.INSTANCE;
        };
    }

    private BackendGate gate(Endpoint endpoint) {
        return gates.computeIfAbsent(endpoint.id(), id -> new BackendGate(eventLoop, context.listener(), endpoint))
                .announced(endpoint);
    }

    private PeerConnection peer(Endpoint endpoint) {
        HostPort address = endpoint.node().address();
        PeerConnection known = peers.get(address);
        if (known == null || !known.usable()) {
            known = PeerConnection.open(this, address);
            peers.put(address, known);
        }
        return known;
    }

    /** Returns the recorder of a service; reports are collected because each one wakes the control thread. */
    EvidenceRecorder evidence(String service) {
        if (recorders.isEmpty()) {
            eventLoop.schedule(this::report, REPORT_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
        return recorders.computeIfAbsent(service, key -> new EvidenceRecorder());
    }

    private void report() {
        Map<String, Evidence> evidence = new HashMap<>();
        recorders.forEach((service, recorder) -> evidence.put(service, recorder.drain()));
        recorders.clear();
        context.listener().on(new TrafficEvent.CallEvidence(evidence));
    }

    /** Logs one in {@link TrafficConfig#logEvery()} routing decisions. */
    void logChoice(Route route, Choice choice) {
        int every = context.config().logEvery();
        if (every > 0 && choices++ % every == 0) {
            LOG.info(
                    "route",
                    "route",
                    route.name(),
                    "service",
                    route.service(),
                    "version",
                    choice.endpoint().server().version(),
                    "endpoint",
                    choice.endpoint().id(),
                    "proximity",
                    choice.proximity(),
                    "candidates",
                    choice.candidates());
        }
    }

    EndpointTracker tracker(String endpointId) {
        return trackers.computeIfAbsent(endpointId, id -> new EndpointTracker(nowMs()));
    }

    EndpointLoad load(String endpointId) {
        return tracker(endpointId).load(nowMs());
    }
}

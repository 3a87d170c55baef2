package org.mimosahinge.daemon.traffic;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.contract.Limits;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.core.admission.AdmissionDecision;
import org.mimosahinge.core.admission.AdmissionLimits;
import org.mimosahinge.core.admission.AdmissionQueue;
import org.mimosahinge.core.admission.AdmissionView;
import org.mimosahinge.core.admission.Waiter;
import org.mimosahinge.net.frame.Frame;

/** Admits calls to one backend server beside this node and notices when it goes down. */
final class BackendGate implements CallTarget {

    /** Weight of a new call in the mean time that calls hold a slot. */
    private static final double NEWEST_WEIGHT = 0.1;

    /** A process that ends closes its connections and its listening socket in no certain order. */
    private static final long PROBE_DELAY_MS = 10;

    private final EventLoop loop;
    private final TrafficListener listener;
    private final BackendPool pool;
    private final TreeMap<Waiter, BackendCall> waiting = new TreeMap<>();
    private final List<BackendCall> lost = new ArrayList<>();
    private Endpoint endpoint;
    private AdmissionLimits limits;
    private double serviceMs;
    private int running;
    private long arrivals;

    BackendGate(EventLoop loop, TrafficListener listener, Endpoint endpoint) {
        this.loop = loop;
        this.listener = listener;
        pool = new BackendPool(loop, endpoint.server().address());
    }

    /** Takes over the endpoint's latest announcement and its service's limits. */
    BackendGate announced(Endpoint latest, Limits serviceLimits) {
        if (latest != endpoint) {
            endpoint = latest;
            limits = AdmissionLimits.of(latest.server(), serviceLimits);
        }
        return this;
    }

    @Override
    public Exchange start(Frame.CallStart start, ResponseObserver observer) {
        long now = TrafficLoop.nowMs();
        Waiter waiter = new Waiter(start.callClass(), now + start.deadlineMs(), ++arrivals);
        BackendCall call = new BackendCall(this, start, waiter, observer);
        AdmissionDecision decision = AdmissionQueue.decide(view(now), waiter);
        if (decision instanceof AdmissionDecision.Run) {
            run(call);
        } else if (decision instanceof AdmissionDecision.Wait wait) {
            wait.evicted().map(waiting::remove).ifPresent(evicted -> evicted.refuse("A call of higher class came"));
            waiting.put(waiter, call);
            call.limitWait(loop);
        } else if (decision instanceof AdmissionDecision.Refuse refusal) {
            call.refuse(refusal.reason());
        }
        return call;
    }

    private AdmissionView view(long nowMs) {
        return new AdmissionView(limits, running, waiting.navigableKeySet(), serviceMs, nowMs);
    }

    private void run(BackendCall call) {
        running++;
        call.admitted();
        pool.acquire(false, call::connected);
    }

    /** Takes a call out of the queue. */
    void leave(Waiter waiter) {
        waiting.remove(waiter);
    }

    /** Takes back a call's slot. */
    void ended(long heldNanos) {
        running--;
        serviceMs += NEWEST_WEIGHT * (heldNanos / 1e6 - serviceMs);
        for (Optional<Waiter> next = AdmissionQueue.next(view(0));
                next.isPresent();
                next = AdmissionQueue.next(view(0))) {
            run(waiting.remove(next.get()));
        }
    }

    void release(BackendConnection connection) {
        pool.release(connection);
    }

    /** Drops kept connections after one of them stopped delivering; the others may have lost their state too. */
    void distrustConnections() {
        pool.closeIdle();
    }

    void refused() {
        listener.on(new TrafficEvent.ConnectionRefused(endpoint.id()));
    }

    /** A connection broke under a call; a new connection tells whether the backend server is still there. */
    void lost(BackendCall call) {
        lost.add(call);
        if (lost.size() == 1) {
            loop.schedule(() -> pool.acquire(true, this::probed), PROBE_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void probed(BackendConnection connection) {
        List<BackendCall> calls = List.copyOf(lost);
        lost.clear();
        if (connection == null) {
            listener.on(new TrafficEvent.EndpointDied(endpoint.id(), calls.size()));
        } else {
            connection.close();
        }
        for (int i = 0; i < calls.size(); i++) {
            calls.get(i).resolveLost(connection == null, i == 0);
        }
    }

    /** Tells whether no call runs or waits and no connection is open for one. */
    boolean idle() {
        return running == 0 && waiting.isEmpty() && pool.idle();
    }

    /** Own measure of occupation, sent with responses as a hint for other nodes. */
    int loadPermille() {
        return Math.min(1000, 1000 * (running + waiting.size()) / limits.slots());
    }
}

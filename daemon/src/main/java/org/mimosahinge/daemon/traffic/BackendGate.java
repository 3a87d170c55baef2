package org.mimosahinge.daemon.traffic;

import io.netty.channel.EventLoop;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.net.frame.Frame;

/** Hands calls to one backend server beside this node. */
final class BackendGate implements CallTarget {

    private final EventLoop loop;
    private final TrafficListener listener;
    private final BackendPool pool;
    private Endpoint endpoint;
    private int running;

    BackendGate(EventLoop loop, TrafficListener listener, Endpoint endpoint) {
        this.loop = loop;
        this.listener = listener;
        this.endpoint = endpoint;
        pool = new BackendPool(loop, endpoint.server().address());
    }

    /** Takes over the endpoint's latest announcement. */
    BackendGate announced(Endpoint latest) {
        endpoint = latest;
        return this;
    }

    @Override
    public Exchange start(Frame.CallStart start, ResponseObserver observer) {
        BackendCall call = new BackendCall(this, start, observer, loop);
        running++;
        pool.acquire(call::connected);
        return call;
    }

    /** Takes back a call's slot. */
    void ended() {
        running--;
    }

    void release(BackendConnection connection) {
        pool.release(connection);
    }

    void refused() {
        listener.on(new TrafficEvent.ConnectionRefused(endpoint.id()));
    }

    /** Own measure of occupation, sent with responses as a hint for other nodes. */
    int loadPermille() {
        return Math.min(1000, 1000 * running / Math.max(1, endpoint.server().slots()));
    }
}

package org.mimosahinge.daemon.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.mimosahinge.core.poison.Fingerprint;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.log.EventLog;

/** Spreads the fingerprints of requests that crashed backend servers over the tree. */
final class Quarantines {

    private static final EventLog LOG = EventLog.of("quarantine");

    private final Links links;
    private final BiConsumer<Fingerprint, Duration> refuse;
    private final LongSupplier nanoTime;
    /** When each fingerprint expires; a known one is not passed on again, which ends every loop. */
    private final Map<Fingerprint, Long> known = new HashMap<>();

    Quarantines(Links links, BiConsumer<Fingerprint, Duration> refuse, LongSupplier nanoTime) {
        this.links = links;
        this.refuse = refuse;
        this.nanoTime = nanoTime;
    }

    /** Takes note of a request that this node refuses already. */
    void found(Fingerprint request, Duration time) {
        if (add(request, time)) {
            links.broadcast(frame(request, time), null);
        }
    }

    /** Refuses a request that another node has found. */
    void received(Frame.Quarantine frame, ControlLink from) {
        Fingerprint request = new Fingerprint(frame.route(), frame.method(), frame.uri(), frame.bodyHash());
        Duration time = Duration.ofMillis(frame.refusedForMs());
        if (add(request, time)) {
            refuse.accept(request, time);
            links.broadcast(frame, from);
        }
    }

    private boolean add(Fingerprint request, Duration time) {
        long now = nanoTime.getAsLong();
        known.values().removeIf(until -> now - until >= 0);
        boolean added = known.putIfAbsent(request, now + time.toNanos()) == null;
        if (added) {
            LOG.warn("request_quarantined", "route", request.route(), "method", request.method(), "uri", request.uri());
        }
        return added;
    }

    private static Frame.Quarantine frame(Fingerprint request, Duration time) {
        return new Frame.Quarantine(
                request.route(), request.method(), request.uri(), request.bodyHash(), time.toMillis());
    }
}

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
final class QuarantineDistributor {

    private static final EventLog LOG = EventLog.of("quarantine");

    private final ControlLinks links;
    private final BiConsumer<Fingerprint, Duration> quarantineLocally;
    private final LongSupplier nanoTime;
    /** When each fingerprint expires; a known one is not passed on again, which ends every loop. */
    private final Map<Fingerprint, Long> expiryNanos = new HashMap<>();

    QuarantineDistributor(
            ControlLinks links, BiConsumer<Fingerprint, Duration> quarantineLocally, LongSupplier nanoTime) {
        this.links = links;
        this.quarantineLocally = quarantineLocally;
        this.nanoTime = nanoTime;
    }

    /** Takes note of a request that this node refuses already. */
    void quarantinedLocally(Fingerprint request, Duration duration) {
        if (add(request, duration)) {
            links.broadcast(frame(request, duration), null);
        }
    }

    /** Refuses a request that another node has found. */
    void received(Frame.Quarantine frame, ControlLink from) {
        Fingerprint request = new Fingerprint(frame.route(), frame.method(), frame.uri(), frame.bodyHash());
        Duration duration = Duration.ofMillis(frame.refusedForMs());
        if (add(request, duration)) {
            quarantineLocally.accept(request, duration);
            links.broadcast(frame, from);
        }
    }

    private boolean add(Fingerprint request, Duration duration) {
        long nowNanos = nanoTime.getAsLong();
        expiryNanos.values().removeIf(until -> nowNanos - until >= 0);
        boolean added = expiryNanos.putIfAbsent(request, nowNanos + duration.toNanos()) == null;
        if (added) {
            LOG.warn("request_quarantined", "route", request.route(), "method", request.method(), "uri", request.uri());
        }
        return added;
    }

    private static Frame.Quarantine frame(Fingerprint request, Duration duration) {
        return new Frame.Quarantine(
                request.route(), request.method(), request.uri(), request.bodyHash(), duration.toMillis());
    }
}

package org.mimosahinge.daemon.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.mimosahinge.core.poison.Fingerprint;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.log.EventLog;

/** Distributes the fingerprints of requests that crashed backend servers over the tree. */
final class QuarantineDistributor {

    private static final EventLog LOG = EventLog.of("quarantine");

    private final ControlLinks links;
    private final BiConsumer<Fingerprint, Duration> quarantineLocally;
    private final LongSupplier nanoTime;
    /** Expiry time of each fingerprint; a fingerprint that is present is not forwarded again, which prevents loops. */
    private final Map<Fingerprint, Long> expiryNanos = new HashMap<>();

    QuarantineDistributor(
            ControlLinks links, BiConsumer<Fingerprint, Duration> quarantineLocally, LongSupplier nanoTime) {
        this.links = links;
        this.quarantineLocally = quarantineLocally;
        this.nanoTime = nanoTime;
    }

    /** Distributes a request that this node rejects already. */
    void quarantinedLocally(Fingerprint request, Duration duration) {
        if (add(request, duration)) {
            links.broadcast(frame(request, duration), null);
        }
    }

    /** Rejects a request that another node has quarantined, and forwards it. */
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

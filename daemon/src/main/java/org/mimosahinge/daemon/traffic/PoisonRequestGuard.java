package org.mimosahinge.daemon.traffic;

import java.time.Duration;
import java.util.Optional;
import org.mimosahinge.core.poison.CrashRegistry;
import org.mimosahinge.core.poison.Fingerprint;

/** Refuses requests that crash backend servers; requests with bodies of one flow-control window or more are not covered. */
final class PoisonRequestGuard {

    private final TrafficContext context;
    private final String route;
    private final CallRequest request;
    private final RequestBody body;

    PoisonRequestGuard(TrafficContext context, String route, CallRequest request, RequestBody body) {
        this.context = context;
        this.route = route;
        this.request = request;
        this.body = body;
    }

    /** Returns whether the body is needed to decide if the request is refused; one that is too long never is. */
    boolean needsBody() {
        CrashRegistry registry = context.crashes().get();
        return request.hasBody()
                && HeaderMaps.contentLength(request.headers()) < FlowWindow.BYTES
                && !registry.records().isEmpty()
                && registry.needsBody(route, request.method(), request.uri(), TrafficLoop.nowMs());
    }

    boolean refused() {
        CrashRegistry registry = context.crashes().get();
        return !registry.records().isEmpty()
                && fingerprint()
                        .filter(fingerprint -> registry.isRefused(fingerprint, TrafficLoop.nowMs()))
                        .isPresent();
    }

    /** Records a crash and returns whether the request is refused from now on. */
    boolean crashed() {
        Optional<Fingerprint> fingerprint = fingerprint();
        if (fingerprint.isEmpty()) {
            return false;
        }
        long now = TrafficLoop.nowMs();
        CrashRegistry after = context.crashes().updateAndGet(registry -> registry.recordCrash(fingerprint.get(), now));
        boolean refused = after.isRefused(fingerprint.get(), now);
        if (refused) {
            context.listener()
                    .on(new TrafficEvent.RequestQuarantined(
                            fingerprint.get(), Duration.ofMillis(CrashRegistry.REFUSAL_MS)));
        }
        return refused;
    }

    void succeeded() {
        if (!context.crashes().get().records().isEmpty()) {
            fingerprint().ifPresent(fingerprint -> context.crashes()
                    .updateAndGet(registry -> registry.recordSuccess(fingerprint)));
        }
    }

    private Optional<Fingerprint> fingerprint() {
        return body.hash(request.hasBody()).map(hash -> new Fingerprint(route, request.method(), request.uri(), hash));
    }
}

package org.mimosahinge.daemon.traffic;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.core.poison.CrashRegistry;
import org.mimosahinge.core.poison.Fingerprint;
import org.mimosahinge.core.routing.RandomSource;

/** Refuses requests that crash backend servers; requests with bodies of one flow-control window or more are not covered. */
final class PoisonRequestGuard {

    private final AtomicReference<CrashRegistry> crashes;
    private final TrafficListener listener;
    private final RandomSource random;
    private final String route;
    private final CallRequest request;
    private final RequestBody body;

    PoisonRequestGuard(TrafficContext context, String route, CallRequest request, RequestBody body) {
        crashes = context.crashes();
        listener = context.listener();
        random = context.policies().random();
        this.route = route;
        this.request = request;
        this.body = body;
    }

    /** Returns whether the body is needed to decide if the request is refused; one that is too long never is. */
    boolean needsBody() {
        CrashRegistry registry = crashes.get();
        return request.hasBody()
                && HeaderMaps.contentLength(request.headers()) < FlowWindow.BYTES
                && !registry.records().isEmpty()
                && registry.needsBody(route, request.method(), request.uri(), TrafficLoop.nowMs());
    }

    /** Returns whether the request is refused; if a trial is due, this request is the trial. */
    boolean refused() {
        if (crashes.get().records().isEmpty()) {
            return false;
        }
        long now = TrafficLoop.nowMs();
        return fingerprint()
                .filter(fingerprint -> crashes.getAndUpdate(registry -> registry.withTrial(fingerprint, now, random))
                        .isRefused(fingerprint, now))
                .isPresent();
    }

    /** Records a crash and returns whether the request is refused from now on. */
    boolean crashed(Endpoint endpoint) {
        Optional<Fingerprint> fingerprint = fingerprint();
        if (fingerprint.isEmpty()) {
            return false;
        }
        long now = TrafficLoop.nowMs();
        return update(
                fingerprint.get(),
                registry -> registry.recordCrash(
                        fingerprint.get(), endpoint.id(), endpoint.timestamp().incarnation(), now, random),
                now);
    }

    void succeeded() {
        if (crashes.get().hasUnexplainedLosses()) {
            long now = TrafficLoop.nowMs();
            fingerprint()
                    .ifPresent(fingerprint ->
                            update(fingerprint, registry -> registry.recordSuccess(fingerprint, now, random), now));
        }
    }

    private boolean update(Fingerprint fingerprint, UnaryOperator<CrashRegistry> change, long now) {
        CrashRegistry before = crashes.getAndUpdate(change);
        CrashRegistry after = change.apply(before);
        boolean refused = after.isRefused(fingerprint, now);
        if (before != after) {
            listener.on(new TrafficEvent.CrashesKnown(after.report(fingerprint), refused));
        }
        return refused;
    }

    private Optional<Fingerprint> fingerprint() {
        return body.hash(request.hasBody()).map(hash -> new Fingerprint(route, request.method(), request.uri(), hash));
    }
}

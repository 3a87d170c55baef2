package org.mimosahinge.daemon.traffic;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.mimosahinge.api.contract.Organisation;
import org.mimosahinge.core.organisation.QuotaGate;
import org.mimosahinge.core.organisation.QuotaLimits;
import org.mimosahinge.core.organisation.QuotaShare;
import org.mimosahinge.core.routing.RandomSource;

/**
 * Admits the calls of organisations with a quota. Traffic threads ask it for each call, the control thread replaces
 * limits and shares.
 */
public final class QuotaGates {

    private final RandomSource random;
    private final Counter admitted;
    private final Counter refused;
    private final Counter givenBack;
    private volatile Map<String, AtomicReference<QuotaGate>> gates = Map.of();
    private volatile long toldMs = TrafficLoop.nowMs();
    private volatile int limited;
    private volatile boolean coordinating;

    /**
     * Creates the admission without quotas.
     *
     * @param random spreads callers over time and first calls over nodes
     * @param registry registers the metrics
     */
    public QuotaGates(RandomSource random, MetricRegistry registry) {
        this.random = random;
        admitted = registry.counter("mimosahinge_quota_admitted_total");
        refused = registry.counter("mimosahinge_quota_refused_total");
        givenBack = registry.counter("mimosahinge_quota_given_back_total");
        gauge(registry, "mimosahinge_quota_allowance_age_ms", () -> gates.isEmpty() ? 0 : TrafficLoop.nowMs() - toldMs);
        gauge(registry, "mimosahinge_quota_limited", () -> (long) limited);
        gauge(registry, "mimosahinge_quota_coordinator", () -> coordinating ? 1L : 0L);
    }

    private static void gauge(MetricRegistry registry, String name, Gauge<Long> value) {
        registry.gauge(name, () -> value);
    }

    /** Admission of one call. */
    static final class Credit {

        /** Credit of a call that no quota limits. */
        static final Credit NONE = new Credit(null, null, 0);

        private final QuotaGates owner;
        private final AtomicReference<QuotaGate> gate;
        private final long retryAfterMs;

        private Credit(QuotaGates owner, AtomicReference<QuotaGate> gate, long retryAfterMs) {
            this.owner = owner;
            this.gate = gate;
            this.retryAfterMs = retryAfterMs;
        }

        /** Returns the time after which a refused caller should retry, 0 if the call was admitted. */
        long retryAfterMs() {
            return retryAfterMs;
        }

        /** Gives the credit of an admitted call back, which was then refused as not run; must be called at most once. */
        void giveBack() {
            if (gate != null && retryAfterMs == 0) {
                gate.updateAndGet(QuotaGate::givenBack);
                owner.givenBack.inc();
            }
        }
    }

    /** Admits or refuses a call of an organisation. */
    Credit admit(Organisation organisation) {
        AtomicReference<QuotaGate> gate = gates.get(organisation.name());
        if (gate == null) {
            return Credit.NONE;
        }
        long now = TrafficLoop.nowMs();
        QuotaGate before = gate.getAndUpdate(current -> current.afterArrival(now));
        if (before.admits(now)) {
            admitted.inc();
            return new Credit(this, gate, 0);
        }
        refused.inc();
        return new Credit(this, gate, before.retryAfterMs(now, random));
    }

    /**
     * Applies the quotas in force; called on the control thread only.
     *
     * @param limits the limits
     * @param nowMs the time
     */
    public void apply(QuotaLimits limits, long nowMs) {
        Map<String, AtomicReference<QuotaGate>> next = new HashMap<>();
        for (String organisation : limits.whole().keySet()) {
            AtomicReference<QuotaGate> gate = gates.get(organisation);
            if (gate == null) {
                gate = new AtomicReference<>(QuotaGate.initial(limits.of(organisation), nowMs, random));
            } else {
                gate.updateAndGet(current -> current.withLimits(limits.of(organisation), nowMs));
            }
            next.put(organisation, gate);
        }
        gates = Map.copyOf(next);
    }

    /**
     * Applies what the coordinator tells; called on the control thread only.
     *
     * @param shares shares of the limited organisations; all calls of the others are admitted
     * @param nowMs the time
     */
    public void told(Map<String, QuotaShare> shares, long nowMs) {
        gates.forEach((organisation, gate) -> {
            QuotaShare share = shares.getOrDefault(organisation, QuotaShare.ALL);
            UnaryOperator<QuotaGate> change = current -> current.told(share, nowMs, random);
            gate.updateAndGet(change);
        });
        toldMs = nowMs;
        limited = shares.size();
    }

    /**
     * Records for the metrics whether this node is the coordinator; called on the control thread only.
     *
     * @param coordinator whether it answers the reports of other nodes
     */
    public void coordinating(boolean coordinator) {
        coordinating = coordinator;
    }

    /**
     * Returns the present state of all gates.
     *
     * @return gates by organisation
     */
    public Map<String, QuotaGate> state() {
        Map<String, QuotaGate> state = new HashMap<>();
        gates.forEach((organisation, gate) -> state.put(organisation, gate.get()));
        return state;
    }
}

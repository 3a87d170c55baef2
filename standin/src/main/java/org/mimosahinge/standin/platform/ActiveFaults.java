package org.mimosahinge.standin.platform;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.standin.platform.Fault.Kind;

/** The active faults, at most one of each kind; confined to one thread. */
final class ActiveFaults {

    private final Map<Kind, Active> active = new EnumMap<>(Kind.class);

    private record Active(Fault fault, long untilNanos, int remaining) {}

    void apply(Fault fault, long nowNanos) {
        if (fault.kind() == Kind.NONE) {
            active.clear();
            return;
        }
        long until = fault.forMs() == 0 ? Long.MAX_VALUE : nowNanos + TimeUnit.MILLISECONDS.toNanos(fault.forMs());
        int remaining = fault.count() == 0 ? Integer.MAX_VALUE : fault.count();
        active.put(fault.kind(), new Active(fault, until, remaining));
    }

    boolean outage(long nowNanos) {
        return current(Kind.OUTAGE, nowNanos).isPresent();
    }

    long delayMs(long nowNanos) {
        return current(Kind.SLOW, nowNanos).map(slow -> slow.fault().delayMs()).orElse(0L);
    }

    boolean takeLostResponse(long nowNanos) {
        Optional<Active> lose = current(Kind.LOSE_ANSWER, nowNanos);
        lose.ifPresent(found ->
                active.put(Kind.LOSE_ANSWER, new Active(found.fault(), found.untilNanos(), found.remaining() - 1)));
        return lose.isPresent();
    }

    private Optional<Active> current(Kind kind, long nowNanos) {
        return Optional.ofNullable(active.get(kind))
                .filter(fault -> nowNanos < fault.untilNanos() && fault.remaining() > 0);
    }
}

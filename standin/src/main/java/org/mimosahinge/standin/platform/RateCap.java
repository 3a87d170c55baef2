package org.mimosahinge.standin.platform;

import java.util.concurrent.TimeUnit;

/** Counts requests in fixed windows of one second; used by one thread. */
final class RateCap {

    private final int perSecond;
    private long window = Long.MIN_VALUE;
    private int taken;

    RateCap(int perSecond) {
        this.perSecond = perSecond;
    }

    boolean tryTake(long nowNanos) {
        long current = Math.floorDiv(nowNanos, TimeUnit.SECONDS.toNanos(1));
        if (current != window) {
            window = current;
            taken = 0;
        }
        return taken++ < perSecond;
    }
}

package org.mimosahinge.standin.platform;

import java.util.concurrent.TimeUnit;

/** Limits requests in fixed windows of one second; confined to one thread. */
final class RateLimiter {

    private final int perSecond;
    private long window = Long.MIN_VALUE;
    private int acquired;

    RateLimiter(int perSecond) {
        this.perSecond = perSecond;
    }

    boolean tryAcquire(long nowNanos) {
        long current = Math.floorDiv(nowNanos, TimeUnit.SECONDS.toNanos(1));
        if (current != window) {
            window = current;
            acquired = 0;
        }
        return acquired++ < perSecond;
    }
}

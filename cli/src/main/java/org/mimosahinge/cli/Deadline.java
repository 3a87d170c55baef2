package org.mimosahinge.cli;

import java.time.Duration;
import java.util.function.LongSupplier;

/** Deadline of a command or of one poll. */
final class Deadline {
    private final LongSupplier nanoClock;
    private final Sleeper sleeper;
    private final long endNanos;

    private Deadline(Duration duration, LongSupplier nanoClock, Sleeper sleeper) {
        this.nanoClock = nanoClock;
        this.sleeper = sleeper;
        this.endNanos = nanoClock.getAsLong() + duration.toNanos();
    }

    /** Sleeps; replaced in tests that use a manual clock. */
    @FunctionalInterface
    interface Sleeper {
        /**
         * Blocks the calling thread.
         *
         * @param duration how long to block
         * @throws InterruptedException when the thread is interrupted
         */
        void sleep(Duration duration) throws InterruptedException;
    }

    static Deadline in(Duration duration) {
        return in(duration, System::nanoTime, pause -> Thread.sleep(pause.toMillis()));
    }

    static Deadline in(Duration duration, LongSupplier nanoClock, Sleeper sleeper) {
        return new Deadline(duration, nanoClock, sleeper);
    }

    Duration remaining() {
        return Duration.ofNanos(Math.max(0, endNanos - nanoClock.getAsLong()));
    }

    boolean isExpired() {
        return remaining().isZero();
    }

    /** Sleeps for the duration or until the deadline, whichever is earlier. */
    void pause(Duration duration) {
        Duration remaining = remaining();
        try {
            sleeper.sleep(duration.compareTo(remaining) < 0 ? duration : remaining);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandTimeoutException("Interrupted while waiting");
        }
    }
}

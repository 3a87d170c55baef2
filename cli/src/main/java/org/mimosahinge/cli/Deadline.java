package org.mimosahinge.cli;

import java.time.Duration;
import java.util.function.LongSupplier;

/** The end of the time that a command may take. */
final class Deadline {
    private final LongSupplier nanoClock;
    private final Sleeper sleeper;
    private final long endNanos;

    private Deadline(Duration duration, LongSupplier nanoClock, Sleeper sleeper) {
        this.nanoClock = nanoClock;
        this.sleeper = sleeper;
        this.endNanos = nanoClock.getAsLong() + duration.toNanos();
    }

    /** Lets time pass. */
    @FunctionalInterface
    interface Sleeper {
        /**
         * Returns after the time has passed.
         *
         * @param duration the time
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

    /** Sleeps, but not beyond the deadline. */
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

package org.mimosahinge.cli;

import java.time.Duration;
import java.util.function.LongSupplier;

/** The end of the time that a command may take. */
final class Deadline {
    private final LongSupplier nanoClock;
    private final Sleep sleep;
    private final long end;

    private Deadline(Duration time, LongSupplier nanoClock, Sleep sleep) {
        this.nanoClock = nanoClock;
        this.sleep = sleep;
        this.end = nanoClock.getAsLong() + time.toNanos();
    }

    /** Lets time pass. */
    @FunctionalInterface
    interface Sleep {
        /**
         * Returns after the time has passed.
         *
         * @param time the time
         * @throws InterruptedException when the thread is interrupted
         */
        void sleep(Duration time) throws InterruptedException;
    }

    static Deadline in(Duration time) {
        return in(time, System::nanoTime, pause -> Thread.sleep(pause.toMillis()));
    }

    static Deadline in(Duration time, LongSupplier nanoClock, Sleep sleep) {
        return new Deadline(time, nanoClock, sleep);
    }

    Duration remaining() {
        return Duration.ofNanos(Math.max(0, end - nanoClock.getAsLong()));
    }

    boolean passed() {
        return remaining().isZero();
    }

    /** Sleeps, but not beyond the deadline. */
    void pause(Duration time) {
        Duration left = remaining();
        try {
            sleep.sleep(time.compareTo(left) < 0 ? time : left);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandTimeoutException("Interrupted while waiting");
        }
    }
}

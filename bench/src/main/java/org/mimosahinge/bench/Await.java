package org.mimosahinge.bench;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits for other processes. */
public final class Await {

    private static final long POLL_MS = 50;

    private Await() {}

    /**
     * Waits until a condition holds.
     *
     * @param limit longest wait
     * @param what the condition in words, for the failure
     * @param condition asked repeatedly
     */
    public static void until(Duration limit, String what, BooleanSupplier condition) {
        result(limit, what, () -> condition.getAsBoolean() ? Optional.of(true) : Optional.empty());
    }

    /**
     * Waits until there is a result.
     *
     * @param limit longest wait
     * @param what the result in words, for the failure
     * @param source asked repeatedly
     * @param <T> the result
     * @return the first result
     */
    public static <T> T result(Duration limit, String what, Supplier<Optional<T>> source) {
        long end = System.nanoTime() + limit.toNanos();
        Optional<T> found = source.get();
        while (found.isEmpty()) {
            if (System.nanoTime() - end >= 0) {
                throw new BenchException("No " + what + " within " + limit.toMillis() + " ms");
            }
            pause(POLL_MS);
            found = source.get();
        }
        return found.get();
    }

    /**
     * Sleeps.
     *
     * @param ms the time in milliseconds
     */
    public static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new BenchException("Interrupted", e);
        }
    }
}

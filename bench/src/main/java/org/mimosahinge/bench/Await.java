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
     * @param timeout longest wait
     * @param description the condition in words, for the failure
     * @param condition asked repeatedly
     */
    public static void until(Duration timeout, String description, BooleanSupplier condition) {
        result(timeout, description, () -> condition.getAsBoolean() ? Optional.of(true) : Optional.empty());
    }

    /**
     * Waits until there is a result.
     *
     * @param timeout longest wait
     * @param description the result in words, for the failure
     * @param source asked repeatedly
     * @param <T> the result
     * @return the first result
     */
    public static <T> T result(Duration timeout, String description, Supplier<Optional<T>> source) {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        Optional<T> result = source.get();
        while (result.isEmpty()) {
            if (System.nanoTime() - deadlineNanos >= 0) {
                throw new BenchException("No " + description + " within " + timeout.toMillis() + " ms");
            }
            sleep(POLL_MS);
            result = source.get();
        }
        return result.get();
    }

    /**
     * Sleeps.
     *
     * @param ms the time in milliseconds
     */
    public static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new BenchException("Interrupted", e);
        }
    }
}

package org.mimosahinge.bench;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits by polling for a condition or a result. */
public final class Await {

    private static final long POLL_MS = 50;

    private Await() {}

    /**
     * Waits until a condition holds.
     *
     * @param timeout longest wait
     * @param description the condition, for the error message
     * @param condition polled until it is true
     */
    public static void until(Duration timeout, String description, BooleanSupplier condition) {
        result(timeout, description, () -> condition.getAsBoolean() ? Optional.of(true) : Optional.empty());
    }

    /**
     * Waits until there is a result.
     *
     * @param timeout longest wait
     * @param description the result, for the error message
     * @param source polled until it returns a result
     * @param <T> type of the result
     * @return the first result
     */
    public static <T> T result(Duration timeout, String description, Supplier<Optional<T>> source) {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        Optional<T> result = source.get();
        while (result.isEmpty()) {
            if (System.nanoTime() - deadlineNanos >= 0) {
                throw new BenchException("Timed out after " + timeout.toMillis() + " ms waiting for " + description);
            }
            sleep(POLL_MS);
            result = source.get();
        }
        return result.get();
    }

    /**
     * Sleeps for a fixed time.
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

package org.mimosahinge.daemon.control;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.mimosahinge.net.log.EventLog;

/**
 * Runs every change of control state on one thread.
 *
 * <p>The thread sleeps while there is nothing to do: the wait strategy blocks, and no consumer depends on another.
 */
public final class ControlLoop implements Executor, AutoCloseable {

    /** Name of the thread, by which measurements find its processor time. */
    public static final String THREAD_NAME = "control";

    private static final int RING_SIZE = 4096;

    /** A task that waits longer holds back a change by a noticeable part of the seconds it has to be in force. */
    private static final long LONG_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private static final EventLog LOG = EventLog.of("control");

    private final Disruptor<Slot> disruptor;
    private final AtomicLong rejected = new AtomicLong();
    private final AtomicLong longestDelayNanos = new AtomicLong();

    private static final class Slot {
        private Runnable task;
        private long offeredNanos;
    }

    private ControlLoop() {
        disruptor = new Disruptor<>(
                Slot::new,
                RING_SIZE,
                task -> new Thread(task, THREAD_NAME),
                ProducerType.MULTI,
                new BlockingWaitStrategy());
        disruptor.setDefaultExceptionHandler(new LoggingExceptionHandler());
        disruptor.handleEventsWith((slot, sequence, endOfBatch) -> {
            Runnable task = slot.task;
            slot.task = null;
            delayed(System.nanoTime() - slot.offeredNanos);
            task.run();
        });
    }

    private void delayed(long nanos) {
        if (nanos > longestDelayNanos.get()) {
            longestDelayNanos.accumulateAndGet(nanos, Math::max);
        }
        if (nanos > LONG_DELAY_NANOS) {
            LOG.info("control_behind", "delay_ms", TimeUnit.NANOSECONDS.toMillis(nanos));
        }
    }

    /**
     * Starts the control thread.
     *
     * @return the running loop
     */
    public static ControlLoop start() {
        ControlLoop loop = new ControlLoop();
        loop.disruptor.start();
        return loop;
    }

    /**
     * Hands a task to the control thread without waiting.
     *
     * @param task the task
     * @return false when the ring is full and the task was dropped
     */
    public boolean offer(Runnable task) {
        boolean accepted = disruptor.getRingBuffer().tryPublishEvent((slot, sequence) -> {
            slot.task = task;
            slot.offeredNanos = System.nanoTime();
        });
        if (!accepted) {
            rejected.incrementAndGet();
        }
        return accepted;
    }

    @Override
    public void execute(Runnable task) {
        if (!offer(task)) {
            throw new RejectedExecutionException("The control ring is full");
        }
    }

    /**
     * Returns how many tasks were dropped because the ring was full.
     *
     * @return the count since the start
     */
    public long rejected() {
        return rejected.get();
    }

    /**
     * Returns the longest time that a task has waited since the last question.
     *
     * @return milliseconds
     */
    public long takeLongestDelayMs() {
        return TimeUnit.NANOSECONDS.toMillis(longestDelayNanos.getAndSet(0));
    }

    @Override
    public void close() {
        disruptor.shutdown();
    }

    private static final class LoggingExceptionHandler implements ExceptionHandler<Slot> {

        @Override
        public void handleEventException(Throwable failure, long sequence, Slot slot) {
            // One failed task must not stop the only thread that changes control state.
            LOG.log(System.Logger.Level.ERROR, "control_task_failed", "error", failure, "at", location(failure));
        }

        private static Object location(Throwable failure) {
            StackTraceElement[] trace = failure.getStackTrace();
            return trace.length == 0 ? "unknown" : trace[0];
        }

        @Override
        public void handleOnStartException(Throwable failure) {
            LOG.log(System.Logger.Level.ERROR, "control_start_failed", "error", failure);
        }

        @Override
        public void handleOnShutdownException(Throwable failure) {
            LOG.log(System.Logger.Level.ERROR, "control_stop_failed", "error", failure);
        }
    }
}

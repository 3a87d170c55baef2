package org.mimosahinge.daemon.control;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.mimosahinge.net.log.EventLog;

/**
 * Runs every change of control state on one thread.
 *
 * <p>The thread sleeps while there is nothing to do: the wait strategy blocks, and spins only when one consumer depends
 * on another, of which there is none here.
 */
public final class ControlLoop implements Executor, AutoCloseable {

    /** Name of the thread, by which benchmarks measure its processor time. */
    public static final String THREAD_NAME = "control";

    private static final int RING_SIZE = 4096;

    /** Longer waits are logged: a change must be in force within seconds, and 250 ms are a noticeable part of that. */
    private static final long LONG_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Short, since calls in flight get nearly all of the time after which a stopping process is killed. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(200);

    private static final EventLog LOG = EventLog.of("control");

    private final Duration closeTimeout;
    private final Disruptor<TaskEvent> disruptor;
    private final AtomicLong droppedTasks = new AtomicLong();
    private final AtomicLong longestDelayNanos = new AtomicLong();

    private static final class TaskEvent {
        private Runnable task;
        private long offeredNanos;
    }

    private ControlLoop(Duration closeTimeout) {
        this.closeTimeout = closeTimeout;
        disruptor = new Disruptor<>(
                TaskEvent::new,
                RING_SIZE,
                task -> new Thread(task, THREAD_NAME),
                ProducerType.MULTI,
                new BlockingWaitStrategy());
        disruptor.setDefaultExceptionHandler(new LoggingExceptionHandler());
        disruptor.handleEventsWith((event, sequence, endOfBatch) -> {
            Runnable task = event.task;
            event.task = null;
            recordDelay(System.nanoTime() - event.offeredNanos);
            task.run();
        });
    }

    private void recordDelay(long delayNanos) {
        if (delayNanos > longestDelayNanos.get()) {
            longestDelayNanos.accumulateAndGet(delayNanos, Math::max);
        }
        if (delayNanos > LONG_DELAY_NANOS) {
            LOG.info("control_behind", "delay_ms", TimeUnit.NANOSECONDS.toMillis(delayNanos));
        }
    }

    /**
     * Starts the control thread.
     *
     * @return the running loop
     */
    public static ControlLoop start() {
        return start(CLOSE_TIMEOUT);
    }

    /** Starts the control thread with a maximum time for its end. */
    static ControlLoop start(Duration closeTimeout) {
        ControlLoop loop = new ControlLoop(closeTimeout);
        loop.disruptor.start();
        return loop;
    }

    /**
     * Queues a task for the control thread without blocking.
     *
     * @param task the task
     * @return false if the ring was full and the task was dropped
     */
    public boolean offer(Runnable task) {
        boolean accepted = tryPublish(task);
        if (!accepted) {
            droppedTasks.incrementAndGet();
        }
        return accepted;
    }

    private boolean tryPublish(Runnable task) {
        return disruptor.getRingBuffer().tryPublishEvent((event, sequence) -> {
            event.task = task;
            event.offeredNanos = System.nanoTime();
        });
    }

    @Override
    public void execute(Runnable task) {
        if (!offer(task)) {
            throw new RejectedExecutionException("The queue of the control thread is full");
        }
    }

    /**
     * Returns how many tasks were dropped because the ring was full.
     *
     * @return the count since the start
     */
    public long droppedTasks() {
        return droppedTasks.get();
    }

    /**
     * Returns the longest time that a task has waited since the last call, and resets it.
     *
     * @return milliseconds
     */
    public long takeLongestDelayMs() {
        return TimeUnit.NANOSECONDS.toMillis(longestDelayNanos.getAndSet(0));
    }

    /** Runs the tasks that are queued and ends the thread; a task that does not end is left behind. */
    @Override
    public void close() {
        // Disruptor.shutdown() spins until the queue is empty, without a limit.
        CountDownLatch reached = new CountDownLatch(1);
        long deadlineNanos = System.nanoTime() + closeTimeout.toNanos();
        try {
            boolean offered = tryPublish(reached::countDown);
            while (!offered && System.nanoTime() - deadlineNanos < 0) {
                TimeUnit.MILLISECONDS.sleep(1);
                offered = tryPublish(reached::countDown);
            }
            if (!reached.await(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS)) {
                LOG.warn(
                        "control_tasks_left",
                        "queued",
                        RING_SIZE - disruptor.getRingBuffer().remainingCapacity());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        disruptor.halt();
    }

    private static final class LoggingExceptionHandler implements ExceptionHandler<TaskEvent> {

        @Override
        public void handleEventException(Throwable failure, long sequence, TaskEvent event) {
            // A failed task must not stop the only thread that changes control state.
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

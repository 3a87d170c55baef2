package org.mimosahinge.daemon.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the end of the control thread, on which a planned stop depends. */
class ControlLoopTest {

    /** Longer than any delay of the machine, where the verdict must not depend on time. */
    private static final Duration LONG_CLOSE_TIMEOUT = Duration.ofSeconds(50);

    private static final Duration SHORT_CLOSE_TIMEOUT = Duration.ofSeconds(2);

    /** Guards against changes that were accepted before the stop and are lost by it. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 1000})
    void closeRunsQueuedTasks(int count) {
        List<Integer> ran = new ArrayList<>();
        ControlLoop loop = ControlLoop.start(LONG_CLOSE_TIMEOUT);
        IntStream.range(0, count).forEach(i -> loop.execute(() -> ran.add(i)));
        loop.close();
        assertEquals(IntStream.range(0, count).boxed().toList(), ran);
    }

    /** Guards against a thread that does not end after a task has failed. */
    @Test
    void closeRunsTasksAfterAFailedOne() {
        List<String> ran = new ArrayList<>();
        ControlLoop loop = ControlLoop.start(LONG_CLOSE_TIMEOUT);
        loop.execute(() -> {
            throw new IllegalStateException("a task that fails");
        });
        loop.execute(() -> ran.add("next"));
        loop.close();
        assertEquals(List.of("next"), ran);
    }

    /** Guards against a process that outlasts its planned stop, or spins meanwhile, because one task does not end. */
    @Test
    @Timeout(60)
    void closeEndsWhileATaskBlocks() throws InterruptedException {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        CountDownLatch blocking = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        ControlLoop loop = ControlLoop.start(SHORT_CLOSE_TIMEOUT);
        loop.execute(() -> {
            blocking.countDown();
            awaitUninterruptibly(released);
        });
        blocking.await();
        long usedBefore = threads.getCurrentThreadCpuTime();
        long startNanos = System.nanoTime();
        loop.close();
        long waitedNanos = System.nanoTime() - startNanos;
        long usedNanos = threads.getCurrentThreadCpuTime() - usedBefore;
        released.countDown();
        assertTrue(usedNanos < waitedNanos / 2, usedNanos + " ns of processor time in " + waitedNanos + " ns");
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        while (true) {
            try {
                latch.await(60, TimeUnit.SECONDS);
                return;
            } catch (InterruptedException e) {
                // The blocked task stands for one that ignores its interruption.
            }
        }
    }
}

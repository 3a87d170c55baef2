package org.mimosahinge.net.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Logging must neither delay calls nor grow without limit while many calls fail. */
class AsyncLogHandlerTest {

    @ParameterizedTest(name = "{0} lines in one second: {1} written, {2} counted as suppressed")
    @CsvSource({"5, 5, 0", "20, 20, 0", "500, 20, 480"})
    void limitsTheLinesOfEachEventPerSecond(int lines, int written, long suppressed) {
        AtomicLong clock = new AtomicLong(1);
        EventRateLimiter limiter = new EventRateLimiter(clock::get);
        int admitted = 0;
        for (int i = 0; i < lines; i++) {
            admitted += limiter.tryAcquire("event=refused") ? 1 : 0;
        }
        assertTrue(limiter.tryAcquire("event=other"));
        clock.addAndGet(2_000_000_000L);
        assertEquals(written, admitted);
        assertEquals(suppressed, limiter.drainSuppressed().getOrDefault("event=refused", 0L));
        assertTrue(limiter.tryAcquire("event=refused"));
    }

    @ParameterizedTest(name = "{0} lines while the output is blocked")
    @CsvSource({"100", "5000"})
    void publishDoesNotBlockOnTheOutput(int lines) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        OutputStream blocked = new OutputStream() {
            @Override
            public void write(int b) throws IOException {
                write(new byte[] {(byte) b}, 0, 1);
            }

            @Override
            public void write(byte[] bytes, int from, int length) throws IOException {
                try {
                    release.await();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
                synchronized (received) {
                    received.write(bytes, from, length);
                    received.notifyAll();
                }
            }
        };
        AtomicLong clock = new AtomicLong();
        // Each line has its own event name, so that only the queue's capacity limits them and not the rate.
        AsyncLogHandler log = new AsyncLogHandler(blocked, new KeyValueFormatter(), clock::get);
        for (int i = 0; i < lines; i++) {
            log.publish(new LogRecord(Level.INFO, "event=e" + i + " n=1"));
        }
        release.countDown();
        synchronized (received) {
            while (!received.toString(StandardCharsets.UTF_8).contains("event=e99 ")) {
                received.wait();
            }
        }
    }
}

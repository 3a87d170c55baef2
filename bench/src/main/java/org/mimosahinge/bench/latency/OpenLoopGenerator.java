package org.mimosahinge.bench.latency;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.AtomicHistogram;
import org.HdrHistogram.Histogram;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.bench.BenchException;
import org.mimosahinge.net.http.HttpMessageClient;
import org.mimosahinge.net.http.HttpMessageRequest;
import org.mimosahinge.net.http.HttpMessageResponse;

/**
 * Open-loop load generator: starts calls at planned times, independently of responses, at each target in turn.
 *
 * <p>Latencies are measured from the planned start, so they include the delay of every call that a stalled server or
 * generator holds up (no coordinated omission). Targets must be on the loopback interface.
 */
public final class OpenLoopGenerator implements AutoCloseable {

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
    private static final long MAX_LATENCY_MICROS = TimeUnit.SECONDS.toMicros(10);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("load", true));
    private final HttpMessageClient client = HttpMessageClient.create(group, CALL_TIMEOUT);

    /**
     * Sends calls to several targets; the planned times of the targets are interleaved evenly.
     *
     * @param plan rate and bounds
     * @param uri path of every call
     * @param targets the servers
     * @return the results, in the order of the targets
     */
    public List<LoadResult> run(LoadPlan plan, String uri, List<HostPort> targets) {
        targets.forEach(OpenLoopGenerator::requireLoopback);
        List<TargetCalls> calls = targets.stream()
                .map(target -> new TargetCalls(target, uri, plan.maxOutstanding()))
                .toList();
        long intervalNanos = plan.intervalNanos() / calls.size();
        long startNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(10);
        for (int i = 0; i < plan.callCount() * calls.size(); i++) {
            long plannedNanos = startNanos + i * intervalNanos;
            parkUntil(plannedNanos);
            calls.get(i % calls.size()).send(i, plannedNanos);
        }
        return calls.stream()
                .map(targetCalls -> targetCalls.awaitResult(plan.maxOutstanding()))
                .toList();
    }

    private static void parkUntil(long plannedNanos) {
        long remainingNanos = plannedNanos - System.nanoTime();
        while (remainingNanos > 0) {
            LockSupport.parkNanos(remainingNanos);
            remainingNanos = plannedNanos - System.nanoTime();
        }
    }

    private static void requireLoopback(HostPort target) {
        try {
            if (!InetAddress.getByName(target.host()).isLoopbackAddress()) {
                throw new BenchException("Target " + target + " is not on the loopback interface");
            }
        } catch (UnknownHostException e) {
            throw new BenchException("Cannot resolve the host of target " + target, e);
        }
    }

    @Override
    public void close() {
        client.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Calls to one target. */
    private final class TargetCalls {
        private final HostPort target;
        private final String uri;
        private final Semaphore permits;
        private final Histogram latencyMicros = new AtomicHistogram(MAX_LATENCY_MICROS, 3);
        private final AtomicLong failedCalls = new AtomicLong();

        TargetCalls(HostPort target, String uri, int maxOutstanding) {
            this.target = target;
            this.uri = uri;
            this.permits = new Semaphore(maxOutstanding);
        }

        void send(int number, long plannedNanos) {
            if (!permits.tryAcquire()) {
                failedCalls.incrementAndGet();
                return;
            }
            String id = Integer.toString(number);
            client.send(target, new HttpMessageRequest("GET", uri, Map.of("x-call", id), new byte[0]))
                    .whenComplete((response, failure) -> completed(id, plannedNanos, response));
        }

        private void completed(String id, long plannedNanos, HttpMessageResponse response) {
            long elapsedMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - plannedNanos);
            if (response != null
                    && response.status() == 200
                    && id.equals(response.headers().get("x-call"))) {
                latencyMicros.recordValue(Math.min(elapsedMicros, MAX_LATENCY_MICROS));
            } else {
                failedCalls.incrementAndGet();
            }
            permits.release();
        }

        LoadResult awaitResult(int maxOutstanding) {
            permits.acquireUninterruptibly(maxOutstanding);
            return new LoadResult(latencyMicros, failedCalls.get());
        }
    }
}

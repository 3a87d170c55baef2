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
 * Starts calls at planned times whatever the responses do, in turn at each target.
 *
 * <p>Times count from the planned start, so a stalled server or generator shows in every call that it delays
 * (coordinated omission). Targets are on the loopback interface only.
 */
public final class OpenLoop implements AutoCloseable {

    private static final Duration CALL_LIMIT = Duration.ofSeconds(5);
    private static final long HIGHEST_MICROS = TimeUnit.SECONDS.toMicros(10);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("load", true));
    private final HttpMessageClient client = HttpMessageClient.create(group, CALL_LIMIT);

    /**
     * Runs calls against several targets; the planned times of the targets are interleaved evenly.
     *
     * @param plan rate and bounds
     * @param uri path of every call
     * @param targets the servers
     * @return the results in the order of the targets
     */
    public List<LoadResult> run(LoadPlan plan, String uri, List<HostPort> targets) {
        targets.forEach(OpenLoop::requireLoopback);
        List<Lane> lanes = targets.stream()
                .map(target -> new Lane(target, uri, plan.mostOutstanding()))
                .toList();
        long step = plan.intervalNanos() / lanes.size();
        long start = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(10);
        for (int i = 0; i < plan.calls() * lanes.size(); i++) {
            long planned = start + i * step;
            parkUntil(planned);
            lanes.get(i % lanes.size()).call(i, planned);
        }
        return lanes.stream().map(lane -> lane.finish(plan.mostOutstanding())).toList();
    }

    private static void parkUntil(long planned) {
        long left = planned - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = planned - System.nanoTime();
        }
    }

    private static void requireLoopback(HostPort target) {
        try {
            if (!InetAddress.getByName(target.host()).isLoopbackAddress()) {
                throw new BenchException("Target " + target + " is not on the loopback interface");
            }
        } catch (UnknownHostException e) {
            throw new BenchException("Target " + target + " is unknown", e);
        }
    }

    @Override
    public void close() {
        client.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Calls to one target. */
    private final class Lane {
        private final HostPort target;
        private final String uri;
        private final Semaphore free;
        private final Histogram micros = new AtomicHistogram(HIGHEST_MICROS, 3);
        private final AtomicLong failed = new AtomicLong();

        Lane(HostPort target, String uri, int mostOutstanding) {
            this.target = target;
            this.uri = uri;
            this.free = new Semaphore(mostOutstanding);
        }

        void call(int number, long planned) {
            if (!free.tryAcquire()) {
                failed.incrementAndGet();
                return;
            }
            String id = Integer.toString(number);
            client.send(target, new HttpMessageRequest("GET", uri, Map.of("x-call", id), new byte[0]))
                    .whenComplete((response, failure) -> ended(id, planned, response));
        }

        private void ended(String id, long planned, HttpMessageResponse response) {
            long elapsed = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - planned);
            if (response != null
                    && response.status() == 200
                    && id.equals(response.headers().get("x-call"))) {
                micros.recordValue(Math.min(elapsed, HIGHEST_MICROS));
            } else {
                failed.incrementAndGet();
            }
            free.release();
        }

        LoadResult finish(int mostOutstanding) {
            free.acquireUninterruptibly(mostOutstanding);
            return new LoadResult(micros, failed.get());
        }
    }
}

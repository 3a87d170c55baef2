import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToLongFunction;

/** Stand-in of an application endpoint: slots with a short queue, health check and heartbeats. */
final class Endpoint implements AutoCloseable {

    private static final int MAX_QUEUED = 48;
    private static final int CALL_TIMEOUT_MS = 1_000;

    private final String id;
    private final String service;
    private final String zone;
    private final int slots;
    private final ToLongFunction<String> workMs;
    private final Record record;
    private final Http.Server server;
    private final Semaphore free;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicLong sequence = new AtomicLong();
    private final long born = System.currentTimeMillis();
    private volatile String version = "v1";
    private volatile double failingShare;
    private volatile int bodyBytes = 20;
    private volatile String state = "ready";
    private volatile boolean closed;

    Endpoint(String id, String service, String zone, String host, int port, int slots, ToLongFunction<String> workMs,
            Record record)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.workMs = workMs;
        this.record = record;
        free = new Semaphore(slots, true);
        server = new Http.Server(host, port, this::handle);
    }

    /** Sets the version, the share of requests that fail, and the size of answers. */
    Endpoint with(String newVersion, double newFailingShare, int newBodyBytes) {
        version = newVersion;
        failingShare = newFailingShare;
        bodyBytes = newBodyBytes;
        return this;
    }

    String address() {
        return server.address();
    }

    private Http.Response handle(Http.Request request) throws InterruptedException {
        Map<String, String> headers = new TreeMap<>();
        headers.put("X-Server-Load", slots - free.availablePermits() + "," + waiting.get() + "," + slots);
        if (request.path().equals("/health")) {
            headers.put("X-Instance-Id", id);
            return new Http.Response(state.equals("ready") ? 200 : 503, headers, new byte[0]);
        }
        String requestId = request.header("X-Request-Id");
        headers.put("X-Request-Id", requestId);
        if (!request.header("X-Target-Instance").equals(id)) {
            headers.put("X-Instance-Id", id);
            return new Http.Response(421, headers, new byte[0]);
        }
        long deadlineMs = record.nowMs() + Long.parseLong(request.header("X-Deadline-Ms"));
        record.add("arrival", "endpoint", id, "service", service, "request", requestId, "caller",
                request.header("X-Caller-Service"), "path", request.target());
        if (waiting.incrementAndGet() > MAX_QUEUED) {
            waiting.decrementAndGet();
            headers.put("X-Not-Executed", "1");
            return new Http.Response(503, headers, new byte[0]);
        }
        free.acquire();
        waiting.decrementAndGet();
        try {
            record.add("run", "endpoint", id, "request", requestId);
            long leftMs = deadlineMs - record.nowMs();
            long work = workMs.applyAsLong(request.target());
            Thread.sleep(Math.max(0, Math.min(work, leftMs)));
            record.add("run_ended", "endpoint", id, "request", requestId);
            headers.put("X-Response-Signature", id + "." + requestId);
            int status = leftMs < work ? 504 : ThreadLocalRandom.current().nextDouble() < failingShare ? 500 : 200;
            return new Http.Response(status, headers, new byte[bodyBytes]);
        } finally {
            free.release();
        }
    }

    /** Reports to the node beside this endpoint until the endpoint is closed. */
    Endpoint reportTo(String control, long heartbeatMs) {
        Thread reports = new Thread(() -> {
            while (!closed) {
                report(control);
                try {
                    Thread.sleep(heartbeatMs);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        reports.setDaemon(true);
        reports.start();
        return this;
    }

    private synchronized boolean report(String control) {
        Map<String, Object> body = new TreeMap<>();
        body.put("service", service);
        body.put("address", address());
        body.put("zone", zone);
        body.put("version", version);
        body.put("slots", slots);
        body.put("state", state);
        body.put("coldLeftS", 0);
        body.put("seq", sequence.incrementAndGet());
        body.put("born", born);
        int status = post(control, "/instances/" + id + "/heartbeat", Json.text(body));
        return status / 100 == 2;
    }

    private int post(String control, String path, String body) {
        int status = 0;
        try {
            status = Http.send(
                            control,
                            new Http.Request("POST", path, Map.of("Content-Type", "application/json", "Host", control),
                                    body.getBytes(StandardCharsets.UTF_8)),
                            CALL_TIMEOUT_MS)
                    .status();
        } catch (IOException e) {
            // The node is away; the next report says the same.
        }
        record.add("report", "endpoint", id, "path", path, "state", state, "status", status);
        return status;
    }

    /** Says that the endpoint leaves, and goes on serving. */
    void drain(String control) {
        state = "draining";
        report(control);
    }

    /** Returns how many requests run now. */
    int running() {
        return slots - free.availablePermits();
    }

    /** Ends at once, with its connections; says nothing. */
    void crash() {
        record.add("crash", "endpoint", id);
        close();
    }

    @Override
    public void close() {
        closed = true;
        server.close();
    }
}

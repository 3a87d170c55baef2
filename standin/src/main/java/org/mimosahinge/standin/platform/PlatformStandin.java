package org.mimosahinge.standin.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.net.http.HttpMessageRequest;
import org.mimosahinge.net.http.HttpMessageResponse;
import org.mimosahinge.net.http.HttpMessageServer;
import org.mimosahinge.net.log.EventLog;
import org.mimosahinge.net.log.KeyValueFormatter;
import org.mimosahinge.standin.platform.PlatformState.Operation;

/**
 * The platform's table service and object store in memory, with fault injection and rate limits.
 *
 * <p>All state is confined to one event loop. A second thread opens and closes the listening port, because binding
 * blocks.
 */
public final class PlatformStandin implements AutoCloseable {

    private static final EventLog LOG = EventLog.of("platform");
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long REBIND_RETRY_MS = 50;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("platform", true));
    private final ScheduledExecutorService listener =
            Executors.newSingleThreadScheduledExecutor(new DefaultThreadFactory("platform-listener", true));
    private final PlatformState state = new PlatformState();
    private final ActiveFaults faults = new ActiveFaults();
    private final RateLimiter writeLimiter;
    private final RateLimiter readLimiter;
    private final HostPort address;
    private Counters counters = Counters.ZERO;
    private HttpMessageServer server;
    private boolean portClosed;

    private PlatformStandin(HostPort listen, RateLimits limits) {
        writeLimiter = new RateLimiter(limits.writesPerSecond());
        readLimiter = new RateLimiter(limits.readsPerSecond());
        server = HttpMessageServer.start(listen, group, this::handle);
        address = server.address();
    }

    /**
     * Starts a platform on a free port of the loopback interface.
     *
     * @return the running stand-in
     */
    public static PlatformStandin start() {
        return start(new HostPort("127.0.0.1", 0), RateLimits.DEFAULT);
    }

    /**
     * Starts a platform.
     *
     * @param listen the address; port 0 picks a free port
     * @param limits maximum rates of requests
     * @return the running stand-in
     */
    public static PlatformStandin start(HostPort listen, RateLimits limits) {
        return new PlatformStandin(listen, limits);
    }

    /**
     * Returns the address that the platform listens on.
     *
     * @return the bound address
     */
    public HostPort address() {
        return address;
    }

    /**
     * Injects a fault and returns when it is in effect; must not be called from the stand-in's own threads.
     *
     * @param fault the fault
     */
    public void injectFault(Fault fault) {
        group.submit(() -> faults.apply(fault, System.nanoTime())).syncUninterruptibly();
        CompletableFuture.runAsync(() -> openOrClosePort(fault), listener).join();
    }

    /**
     * Returns the counts since the start.
     *
     * @return the counts
     */
    public Counters counters() {
        return group.submit(() -> counters).syncUninterruptibly().getNow();
    }

    @Override
    public void close() {
        CompletableFuture.runAsync(server::close, listener).join();
        listener.shutdownNow();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private CompletionStage<HttpMessageResponse> handle(HttpMessageRequest request) {
        return switch (request.path()) {
            case "/v1/faults" -> CompletableFuture.completedFuture(faultRequested(request));
            case "/v1/counters" -> CompletableFuture.completedFuture(json(counters));
            default -> execute(request);
        };
    }

    private CompletionStage<HttpMessageResponse> execute(HttpMessageRequest request) {
        long now = System.nanoTime();
        if (faults.outage(now)) {
            throw new DroppedConnectionException();
        }
        Operation operation = state.operation(request);
        if (!(operation.write() ? writeLimiter : readLimiter).tryAcquire(now)) {
            counters = counters.plus(new Counters(0, 0, 0, 0, 1, 0));
            return CompletableFuture.completedFuture(PlatformState.error(429, "overloaded", "Too many requests"));
        }
        if (operation.write() && faults.takeLostResponse(now)) {
            executeNow(operation, request);
            counters = counters.plus(new Counters(0, 0, 0, 0, 0, 1));
            throw new DroppedConnectionException();
        }
        long delayMs = faults.delayMs(now);
        if (delayMs == 0) {
            return CompletableFuture.completedFuture(executeNow(operation, request));
        }
        CompletableFuture<HttpMessageResponse> delayed = new CompletableFuture<>();
        group.schedule(() -> delayed.complete(executeNow(operation, request)), delayMs, TimeUnit.MILLISECONDS);
        return delayed;
    }

    private HttpMessageResponse executeNow(Operation operation, HttpMessageRequest request) {
        HttpMessageResponse response = operation.execute(request);
        int writes = operation.write() ? 1 : 0;
        counters = counters.plus(new Counters(1 - writes, writes, request.body().length, response.body().length, 0, 0));
        return response;
    }

    private HttpMessageResponse faultRequested(HttpMessageRequest request) {
        try {
            JsonNode body = MAPPER.readTree(request.body());
            Fault fault = new Fault(
                    Fault.Kind.valueOf(body.path("kind").asText().toUpperCase(Locale.ROOT)),
                    body.path("forMs").asLong(),
                    body.path("delayMs").asLong(),
                    body.path("count").asInt(),
                    body.path("refuse").asBoolean());
            faults.apply(fault, System.nanoTime());
            listener.execute(() -> openOrClosePort(fault));
            return json(fault);
        } catch (IllegalArgumentException | java.io.IOException e) {
            return PlatformState.error(400, "invalid_value", "Fault is malformed");
        }
    }

    private void openOrClosePort(Fault fault) {
        if (fault.kind() == Fault.Kind.OUTAGE && fault.refuse()) {
            LOG.info("refusing", "address", address, "for_ms", fault.forMs());
            server.close();
            portClosed = true;
            if (fault.forMs() > 0) {
                listener.schedule(this::listen, fault.forMs(), TimeUnit.MILLISECONDS);
            }
        } else if (fault.kind() == Fault.Kind.NONE) {
            listen();
        }
    }

    private void listen() {
        if (!portClosed) {
            return;
        }
        try {
            server = HttpMessageServer.start(address, group, this::handle);
            portClosed = false;
        } catch (Exception e) {
            // Netty throws the checked BindException undeclared. The selector releases a closed port only when it
            // selects again.
            LOG.warn("bind_failed", "address", address, "cause", e);
            listener.schedule(this::listen, REBIND_RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private static HttpMessageResponse json(Record body) {
        try {
            return HttpMessageResponse.json(200, MAPPER.writeValueAsString(body));
        } catch (JsonProcessingException e) {
            // Records of numbers and enum constants can always be serialized.
            throw new AssertionError(e);
        }
    }

    /**
     * Runs the stand-in until the process is stopped.
     *
     * @param arguments {@code --listen host:port}, {@code --writes-per-second n}, {@code --reads-per-second n}
     */
    public static void main(String[] arguments) {
        OptionParser parser = new OptionParser();
        OptionSpec<String> listen = parser.accepts("listen").withRequiredArg().required();
        OptionSpec<Integer> writes = parser.accepts("writes-per-second")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(RateLimits.DEFAULT.writesPerSecond());
        OptionSpec<Integer> reads = parser.accepts("reads-per-second")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(RateLimits.DEFAULT.readsPerSecond());
        OptionSet options = parser.parse(arguments);
        KeyValueFormatter.install(Level.INFO);
        PlatformStandin standin = start(
                HostPort.parse(options.valueOf(listen)),
                new RateLimits(options.valueOf(writes), options.valueOf(reads)));
        LOG.info("listening", "address", standin.address());
        standin.group.terminationFuture().syncUninterruptibly();
    }
}

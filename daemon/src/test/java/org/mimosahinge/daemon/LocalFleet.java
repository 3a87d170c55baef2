package org.mimosahinge.daemon;

import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.mimosahinge.api.operator.OperatorJson;
import org.mimosahinge.api.operator.Status;
import org.mimosahinge.api.settings.NodeSettings;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.net.http.HttpMessageClient;
import org.mimosahinge.net.http.HttpMessageRequest;
import org.mimosahinge.net.http.HttpMessageResponse;
import org.mimosahinge.net.http.HttpMessageServer;
import org.mimosahinge.standin.platform.PlatformStandin;

/** Runs daemons, a platform stand-in and backend servers in one process, all on loopback. */
final class LocalFleet implements AutoCloseable {

    private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);
    private static final int MAX_POLLS = 600;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final HttpMessageClient http = HttpMessageClient.create(group, Duration.ofSeconds(20));
    private final Deque<AutoCloseable> resources = new ArrayDeque<>();
    private final Map<HostPort, AtomicInteger> calls = new ConcurrentHashMap<>();
    private final Map<HostPort, ScheduledFuture<?>> announcements = new ConcurrentHashMap<>();
    private final List<Daemon> daemons = new CopyOnWriteArrayList<>();
    private final PlatformStandin platform = PlatformStandin.start();

    PlatformStandin platform() {
        return platform;
    }

    List<Daemon> daemons() {
        return daemons;
    }

    Daemon startDaemon(String name, String zone, String region) {
        Daemon daemon = Daemon.start(NodeSettings.builder()
                .nodeId(name)
                .zone(zone)
                .region(region)
                .storeRegion("ch-west")
                .callerAddress(ANY_PORT)
                .peerAddress(freePort())
                .operatorAddress(ANY_PORT)
                .platformAddress(platform.address())
                .headPoll(Duration.ofMillis(200))
                .build());
        daemons.add(daemon);
        return daemon;
    }

    /** Stops a daemon as a crash would. */
    void kill(int index) {
        daemons.remove(index).kill();
    }

    private static HostPort freePort() {
        return new HostPort("127.0.0.1", FreePorts.next());
    }

    /** Starts a backend server that returns its version and announces itself to its local node every second. */
    HttpMessageServer startBackend(Daemon local, String service, String version) {
        AtomicInteger served = new AtomicInteger();
        HttpMessageServer server = HttpMessageServer.start(ANY_PORT, group, request -> {
            served.incrementAndGet();
            return CompletableFuture.completedFuture(new HttpMessageResponse(
                    200,
                    Map.of("organisation", request.headers().getOrDefault("x-mimosahinge-organisation", "")),
                    ("\"" + service + ' ' + version + ' ' + request.uri() + "\"").getBytes(StandardCharsets.UTF_8)));
        });
        calls.put(server.address(), served);
        announce(local, server, service, version, "ready");
        ScheduledFuture<?> announcementTask = group.scheduleAtFixedRate(
                () -> http.send(local.operatorAddress(), announcement(server, service, version, "ready")),
                1,
                1,
                TimeUnit.SECONDS);
        announcements.put(server.address(), announcementTask);
        resources.push(() -> {
            announcementTask.cancel(false);
            server.close();
        });
        return server;
    }

    /** Stops the announcements of a backend server, which still accepts calls. */
    void stopAnnouncing(HttpMessageServer server) {
        announcements.get(server.address()).cancel(false);
    }

    /** Returns how many calls a backend server has received. */
    int callsServed(HttpMessageServer server) {
        return calls.get(server.address()).get();
    }

    void announce(Daemon local, HttpMessageServer server, String service, String version, String state) {
        expect(200, send(local.operatorAddress(), announcement(server, service, version, state)));
    }

    private static HttpMessageRequest announcement(
            HttpMessageServer server, String service, String version, String state) {
        String body = "{\"service\":\"" + service + "\",\"version\":\"" + version
                + "\",\"host\":\"127.0.0.1\",\"port\":" + server.address().port()
                + ",\"slots\":20,\"connections\":130,\"state\":\"" + state + "\",\"load\":0,\"resources\":[]}";
        return HttpMessageRequest.json("POST", "/v1/announce", body);
    }

    HttpMessageResponse submit(Daemon daemon, String team, long base, String section) {
        return send(
                daemon.operatorAddress(),
                HttpMessageRequest.json("PUT", "/v1/sections/" + team + "?base=" + base, section));
    }

    Status status(Daemon daemon) {
        return OperatorJson.decode(
                Status.class,
                send(daemon.operatorAddress(), HttpMessageRequest.get("/v1/status"))
                        .body());
    }

    String operatorBody(Daemon daemon, String uri) {
        return send(daemon.operatorAddress(), HttpMessageRequest.get(uri)).text();
    }

    HttpMessageResponse call(Daemon entry, String uri) {
        return send(entry.callerAddress(), new HttpMessageRequest("GET", uri, Map.of(), new byte[0]));
    }

    HttpMessageResponse send(HostPort target, HttpMessageRequest request) {
        return http.send(target, request).toCompletableFuture().join();
    }

    void awaitInForce(long version, int nodes) {
        await(() -> daemons.stream()
                .map(this::status)
                .allMatch(status -> status.version() >= version && status.inForce() == nodes && status.ready()));
    }

    /** Polls until a condition holds; fails after a maximum number of polls so that the test ends. */
    static void await(BooleanSupplier condition) {
        for (int poll = 0; poll < MAX_POLLS; poll++) {
            if (condition.getAsBoolean()) {
                return;
            }
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new AssertionError("interrupted", e);
            }
        }
        throw new AssertionError("condition not met in time");
    }

    static HttpMessageResponse expect(int status, HttpMessageResponse response) {
        if (response.status() != status) {
            throw new AssertionError("status " + response.status() + ": " + response.text());
        }
        return response;
    }

    @Override
    public void close() {
        resources.forEach(resource -> {
            try {
                resource.close();
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        });
        daemons.parallelStream().forEach(Daemon::close);
        platform.close();
        http.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}

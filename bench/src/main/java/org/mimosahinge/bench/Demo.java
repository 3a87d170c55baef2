package org.mimosahinge.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Region;
import org.mimosahinge.net.http.HttpMessageResponse;

/**
 * Runs a platform, daemons and backend servers as separate processes and checks the main path: submission of a section,
 * calls across zones, and a change of the route's version while a slow call is in progress.
 */
public final class Demo {

    private static final Region REGION = new Region("west");
    private static final AvailabilityZone ZONE_A = new AvailabilityZone("west-a", REGION);
    private static final AvailabilityZone ZONE_B = new AvailabilityZone("west-b", REGION);
    /** The route isn't idempotent, because an idempotent call without a response is retried at another endpoint. */
    private static final String SLOW_CALL_ID = "print/slow";

    private static final int SLOW_CALL_LATENCY_MS = 4_000;
    private static final int CALLS_PER_CHECK = 20;
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(20);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Deployment deployment;
    private final PrintStream out;
    private final Machine machineA1 = Machine.withFreePorts(ZONE_A, "west-a-1");
    private final Machine machineA2 = Machine.withFreePorts(ZONE_A, "west-a-2");
    private final Machine entryMachine = Machine.withFreePorts(ZONE_B, "west-b-1");
    private int sentCalls;

    private Demo(Deployment deployment, PrintStream out) {
        this.deployment = deployment;
        this.out = out;
    }

    /**
     * Runs the demo.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        System.exit(run(System.out));
    }

    /**
     * Runs the demo and prints a line for each step and for the outcome.
     *
     * @param out receives the lines
     * @return exit status: 0 if every step succeeded, else 1
     */
    static int run(PrintStream out) {
        try (Deployment deployment = Deployment.start(REGION)) {
            String summary = new Demo(deployment, out).runOrPrintOutputs();
            out.println("demo outcome=ok " + summary);
            return 0;
        } catch (RuntimeException e) {
            out.println("demo outcome=failed reason=\"" + oneLine(String.valueOf(e.getMessage())) + '"');
            return 1;
        }
    }

    /** Joins the lines of a reason, so that the outcome is always the last line of the output. */
    static String oneLine(String reason) {
        return reason.replace('"', '\'').replaceAll("\\s*\\R\\s*", " | ");
    }

    private String runOrPrintOutputs() {
        try {
            return runSteps();
        } catch (RuntimeException e) {
            out.println(deployment.lastOutputLines());
            throw e;
        }
    }

    private String runSteps() {
        List<Machine> machines = List.of(machineA1, machineA2, entryMachine);
        machines.forEach(deployment::startDaemon);
        deployment.awaitRoster();
        printStep("started", "daemons", machines.size(), "zones", 2);

        List<HostPort> v1Servers = startBackends("v1");
        submit("\"v1\"", "v1", 0);
        deployment.awaitInForce(1);
        printStep("in_force", "version", 1, "nodes", machines.size() + "/" + machines.size());
        awaitResponseFrom("v1");
        checkCalls(Set.of("v1"));

        startBackends("v2");
        CompletableFuture<HttpMessageResponse> slowCall = startSlowCall(v1Servers);
        submit("\"v1\", \"v2\"", "v2", 1);
        deployment.awaitInForce(2);
        printStep("in_force", "version", 2, "nodes", machines.size() + "/" + machines.size());
        awaitResponseFrom("v2");
        checkCalls(Set.of("v2"));
        boolean stillRunning = !slowCall.isDone();
        checkResponse(slowCall.join(), SLOW_CALL_ID, Set.of("v1"));
        require(stillRunning, "the slow call to be in progress after the change of the route, but it had ended before");
        printStep("slow_call", "answered", 1, "cut", 0);

        Map<Machine, Integer> exitStatuses = deployment.stopDaemons();
        // A Java process that is terminated by SIGTERM exits with 128 + 15.
        require(
                Set.of(0, 143).containsAll(exitStatuses.values()),
                "daemons to stop gracefully, found exit statuses " + exitStatuses);
        return "version=2 nodes=" + machines.size() + "/" + machines.size() + " calls=" + sentCalls + " cut=0";
    }

    private List<HostPort> startBackends(String version) {
        return List.of(
                deployment.startBackend(machineA1, ListingsSection.SERVICE, version),
                deployment.startBackend(machineA2, ListingsSection.SERVICE, version));
    }

    private void submit(String versions, String current, int base) {
        String output = deployment.submit(machineA1, ListingsSection.json(versions, current), base);
        printStep("submitted", "current", current, "answer", '"' + output.replace('\n', ' ') + '"');
    }

    private CompletableFuture<HttpMessageResponse> startSlowCall(List<HostPort> servers) {
        servers.forEach(server -> setLatency(server, SLOW_CALL_LATENCY_MS));
        CompletableFuture<HttpMessageResponse> slowCall = call(SLOW_CALL_ID);
        Await.until(AWAIT_TIMEOUT, "the slow call to reach a backend server", () -> servers.stream()
                .anyMatch(this::isRunningCalls));
        servers.forEach(server -> setLatency(server, 0));
        return slowCall;
    }

    private void setLatency(HostPort server, int latencyMs) {
        String body = "{\"latencyMs\":" + latencyMs + "}";
        int status = deployment
                .http()
                .send(server, "PUT", "/_standin/behaviour", Map.of(), body)
                .join()
                .status();
        require(status == 200, "status 200 for the change of the backend server's latency, found " + status);
    }

    private boolean isRunningCalls(HostPort server) {
        return deployment
                .http()
                .fetchBody(server, "/_standin/stats")
                .map(body -> json(body).path("running").asInt() > 0)
                .orElse(false);
    }

    private void awaitResponseFrom(String version) {
        Await.until(AWAIT_TIMEOUT, "a response from version " + version, () -> {
            HttpMessageResponse response = call("probe").join();
            return response.status() == 200
                    && json(response.body()).path("version").asText().equals(version);
        });
    }

    private void checkCalls(Set<String> versions) {
        List<CompletableFuture<HttpMessageResponse>> calls = IntStream.range(0, CALLS_PER_CHECK)
                .mapToObj(i -> call("call-" + i))
                .toList();
        Set<String> seenVersions = new HashSet<>();
        for (int i = 0; i < CALLS_PER_CHECK; i++) {
            seenVersions.add(checkResponse(calls.get(i).join(), "call-" + i, versions));
        }
        printStep("calls", "zone", entryMachine.zone().name(), "answered", CALLS_PER_CHECK, "versions", seenVersions);
    }

    private CompletableFuture<HttpMessageResponse> call(String id) {
        sentCalls++;
        return deployment.http().get(entryMachine.callerAddress(), "/listings/" + id, Map.of("x-call", id));
    }

    private String checkResponse(HttpMessageResponse response, String id, Set<String> versions) {
        require(
                response.status() == 200,
                "status 200 for " + id + ", found " + response.status() + ' ' + response.text());
        JsonNode body = json(response.body());
        String version = body.path("version").asText();
        require(versions.contains(version), "version " + versions + " for " + id + ", found " + version);
        require(
                body.path("call").asText().equals(id)
                        && body.path("path").asText().equals("/listings/" + id),
                "the response to " + id + ", found " + response.text());
        return version;
    }

    private static JsonNode json(byte[] body) {
        try {
            return MAPPER.readTree(body);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void require(boolean condition, String expectation) {
        if (!condition) {
            throw new BenchException("Expected " + expectation);
        }
    }

    private void printStep(String name, Object... pairs) {
        StringBuilder line = new StringBuilder("demo step=").append(name);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            line.append(' ').append(pairs[i]).append('=').append(pairs[i + 1]);
        }
        out.println(line);
    }
}

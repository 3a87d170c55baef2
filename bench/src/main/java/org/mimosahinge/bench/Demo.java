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
 * Runs the whole path as separate processes: submission, a call across zones, and a route that changes version while a
 * slow call is under way.
 */
public final class Demo {

    private static final Region REGION = new Region("west");
    private static final AvailabilityZone ZONE_A = new AvailabilityZone("west-a", REGION);
    private static final AvailabilityZone ZONE_B = new AvailabilityZone("west-b", REGION);
    /** On a route that is not idempotent: an idempotent call that stays silent is repeated at another endpoint. */
    private static final String SLOW_CALL = "print/slow";

    private static final int SLOW_CALL_MS = 4_000;
    private static final int CALLS = 20;
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Deployment deployment;
    private final PrintStream out;
    private final Machine storeA1 = Machine.in(ZONE_A, "west-a-1");
    private final Machine storeA2 = Machine.in(ZONE_A, "west-a-2");
    private final Machine entry = Machine.in(ZONE_B, "west-b-1");
    private int sent;

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
     * Runs the demo and prints its steps.
     *
     * @param out receives the lines
     * @return exit status
     */
    static int run(PrintStream out) {
        try (Deployment deployment = Deployment.start(REGION)) {
            String summary = new Demo(deployment, out).steps();
            out.println("demo outcome=ok " + summary);
            return 0;
        } catch (RuntimeException e) {
            out.println("demo outcome=failed reason=\"" + oneLine(String.valueOf(e.getMessage())) + '"');
            return 1;
        }
    }

    /** The outcome is the last line of the output, whatever the reason contains. */
    static String oneLine(String reason) {
        return reason.replace('"', '\'').replaceAll("\\s*\\R\\s*", " | ");
    }

    private String steps() {
        try {
            return path();
        } catch (RuntimeException e) {
            out.println(deployment.outputs());
            throw e;
        }
    }

    private String path() {
        List<Machine> machines = List.of(storeA1, storeA2, entry);
        machines.forEach(deployment::startDaemon);
        deployment.awaitRoster();
        step("started", "daemons", machines.size(), "zones", 2);

        List<HostPort> old = startBackends("v1");
        submit("\"v1\"", "v1", 0);
        deployment.awaitInForce(1);
        step("in_force", "version", 1, "nodes", machines.size() + "/" + machines.size());
        awaitAnswerOf("v1");
        checkCalls(Set.of("v1"));

        startBackends("v2");
        CompletableFuture<HttpMessageResponse> slow = startSlowCall(old);
        submit("\"v1\", \"v2\"", "v2", 1);
        deployment.awaitInForce(2);
        step("in_force", "version", 2, "nodes", machines.size() + "/" + machines.size());
        awaitAnswerOf("v2");
        checkCalls(Set.of("v2"));
        boolean outlasted = !slow.isDone();
        checkResponse(slow.join(), SLOW_CALL, Set.of("v1"));
        require(outlasted, "the slow call to outlast the change of the route, found its answer before");
        step("slow_call", "answered", 1, "cut", 0);

        Map<Machine, Integer> statuses = deployment.stopDaemons();
        // A Java process that ends by SIGTERM reports 128 + 15.
        require(Set.of(0, 143).containsAll(statuses.values()), "daemons to stop gracefully, statuses " + statuses);
        return "version=2 nodes=" + machines.size() + "/" + machines.size() + " calls=" + sent + " cut=0";
    }

    private List<HostPort> startBackends(String version) {
        return List.of(
                deployment.startBackend(storeA1, ListingsSection.SERVICE, version),
                deployment.startBackend(storeA2, ListingsSection.SERVICE, version));
    }

    private void submit(String versions, String current, int base) {
        String answer = deployment.submit(storeA1, ListingsSection.json(versions, current), base);
        step("submitted", "current", current, "answer", '"' + answer.replace('\n', ' ') + '"');
    }

    private CompletableFuture<HttpMessageResponse> startSlowCall(List<HostPort> servers) {
        servers.forEach(server -> behave(server, SLOW_CALL_MS));
        CompletableFuture<HttpMessageResponse> slow = call(SLOW_CALL);
        Await.until(
                LIMIT, "slow call at a backend server", () -> servers.stream().anyMatch(this::runs));
        servers.forEach(server -> behave(server, 0));
        return slow;
    }

    private void behave(HostPort server, int latencyMs) {
        String body = "{\"latencyMs\":" + latencyMs + "}";
        int status = deployment
                .http()
                .send(server, "PUT", "/_standin/behaviour", Map.of(), body)
                .join()
                .status();
        require(status == 200, "the backend server's behaviour to change, status " + status);
    }

    private boolean runs(HostPort server) {
        return deployment
                .http()
                .body(server, "/_standin/stats")
                .map(body -> json(body).path("running").asInt() > 0)
                .orElse(false);
    }

    private void awaitAnswerOf(String version) {
        Await.until(LIMIT, "answer of " + version, () -> {
            HttpMessageResponse response = call("probe").join();
            return response.status() == 200
                    && json(response.body()).path("version").asText().equals(version);
        });
    }

    private void checkCalls(Set<String> versions) {
        List<CompletableFuture<HttpMessageResponse>> calls =
                IntStream.range(0, CALLS).mapToObj(i -> call("call-" + i)).toList();
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < CALLS; i++) {
            seen.add(checkResponse(calls.get(i).join(), "call-" + i, versions));
        }
        step("calls", "zone", entry.zone().name(), "answered", CALLS, "versions", seen);
    }

    private CompletableFuture<HttpMessageResponse> call(String id) {
        sent++;
        return deployment.http().get(entry.caller(), "/listings/" + id, Map.of("x-call", id));
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

    private static void require(boolean holds, String what) {
        if (!holds) {
            throw new BenchException("Expected " + what);
        }
    }

    private void step(String name, Object... pairs) {
        StringBuilder line = new StringBuilder("demo step=").append(name);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            line.append(' ').append(pairs[i]).append('=').append(pairs[i + 1]);
        }
        out.println(line);
    }
}

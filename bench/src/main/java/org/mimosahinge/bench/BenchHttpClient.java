package org.mimosahinge.bench;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.operator.OperatorJson;
import org.mimosahinge.api.operator.Status;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.net.http.HttpMessageClient;
import org.mimosahinge.net.http.HttpMessageRequest;
import org.mimosahinge.net.http.HttpMessageResponse;

/** HTTP client for the caller and operator ports of daemons and for the stand-ins. */
public final class BenchHttpClient implements AutoCloseable {

    private final NioEventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("bench-http", true));
    private final HttpMessageClient client;

    private BenchHttpClient(Duration timeout) {
        client = HttpMessageClient.create(group, timeout);
    }

    /**
     * Creates a client.
     *
     * @param timeout time limit of one request
     * @return the client
     */
    public static BenchHttpClient create(Duration timeout) {
        return new BenchHttpClient(timeout);
    }

    /**
     * Sends a request.
     *
     * @param target the server
     * @param method the method
     * @param uri path and query
     * @param headers headers by lower-case name
     * @param body the body
     * @return the response
     */
    public CompletableFuture<HttpMessageResponse> send(
            HostPort target, String method, String uri, Map<String, String> headers, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return client.send(target, new HttpMessageRequest(method, uri, headers, bytes))
                .toCompletableFuture();
    }

    /**
     * Sends a GET request.
     *
     * @param target the server
     * @param uri path and query
     * @param headers headers by lower-case name
     * @return the response
     */
    public CompletableFuture<HttpMessageResponse> get(HostPort target, String uri, Map<String, String> headers) {
        return send(target, "GET", uri, headers, "");
    }

    /**
     * Fetches the body of a resource.
     *
     * @param target the server
     * @param uri path and query
     * @return the body, empty if the request fails or the status is not 200
     */
    public Optional<byte[]> fetchBody(HostPort target, String uri) {
        try {
            HttpMessageResponse response = get(target, uri, Map.of()).join();
            return response.status() == 200 ? Optional.of(response.body()) : Optional.empty();
        } catch (CompletionException e) {
            return Optional.empty();
        }
    }

    /**
     * Reads a daemon's status.
     *
     * @param machine the VM of the daemon
     * @return the status, empty if the daemon does not respond
     */
    public Optional<Status> status(Machine machine) {
        return fetchBody(machine.operatorAddress(), "/v1/status").map(json -> OperatorJson.decode(Status.class, json));
    }

    @Override
    public void close() {
        client.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}

package org.mimosahinge.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.mimosahinge.api.error.MimosahingeException;
import org.mimosahinge.api.operator.ErrorBody;
import org.mimosahinge.api.operator.OperatorJson;
import org.mimosahinge.api.operator.Submission;
import org.mimosahinge.api.operator.UnreadableBodyException;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.net.http.HttpExchangeException;
import org.mimosahinge.net.http.HttpMessageClient;
import org.mimosahinge.net.http.HttpMessageRequest;
import org.mimosahinge.net.http.HttpMessageResponse;

/** HTTP client for the operator port of one daemon. */
final class OperatorClient implements AutoCloseable {
    // The deadline passed to each request applies; this longer timeout only closes the connection afterwards.
    private static final Duration EXCHANGE_TIMEOUT = Duration.ofHours(1);

    private final HostPort node;
    private final EventLoopGroup group;
    private final HttpMessageClient http;

    private OperatorClient(HostPort node, EventLoopGroup group) {
        this.node = node;
        this.group = group;
        this.http = HttpMessageClient.create(group, EXCHANGE_TIMEOUT);
    }

    static OperatorClient create(HostPort node) {
        return new OperatorClient(node, new NioEventLoopGroup(1));
    }

    <T extends Record> T get(String uri, Class<T> type, Deadline deadline) {
        return decode(type, send(HttpMessageRequest.get(uri), deadline));
    }

    Submission submit(String team, long base, byte[] section, Deadline deadline) {
        HttpMessageRequest request = new HttpMessageRequest(
                "PUT",
                "/v1/sections/" + encodePathSegment(team) + "?base=" + base,
                Map.of("content-type", "application/json"),
                section);
        return decode(Submission.class, send(request, deadline));
    }

    void drain(String endpoint, Deadline deadline) {
        send(
                HttpMessageRequest.json("POST", "/v1/endpoints/" + encodePathSegment(endpoint) + "/drain", "{}"),
                deadline);
    }

    private HttpMessageResponse send(HttpMessageRequest request, Deadline deadline) {
        try {
            HttpMessageResponse response = http.send(node, request)
                    .toCompletableFuture()
                    .get(deadline.remaining().toMillis(), TimeUnit.MILLISECONDS);
            if (response.status() / 100 == 2) {
                return response;
            }
            throw new RefusedException(decode(ErrorBody.class, response));
        } catch (TimeoutException e) {
            throw new CommandTimeoutException("No response from " + node + " to " + request.method() + " "
                    + request.path() + " within the timeout");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw HttpExchangeException.noResponse(node, e);
        } catch (ExecutionException e) {
            throw e.getCause() instanceof MimosahingeException failure
                    ? failure
                    : HttpExchangeException.noResponse(node, e.getCause());
        }
    }

    private <T extends Record> T decode(Class<T> type, HttpMessageResponse response) {
        try {
            return OperatorJson.decode(type, response.body());
        } catch (UnreadableBodyException e) {
            throw new UnreadableResponseException(node, response.status(), e);
        }
    }

    // Endpoint ids contain an address and may contain a slash; URLEncoder encodes a blank as "+".
    private static String encodePathSegment(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }

    @Override
    public void close() {
        http.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}

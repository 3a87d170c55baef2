package org.mimosahinge.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.net.http.HttpMessageRequest;
import org.mimosahinge.net.http.HttpMessageResponse;
import org.mimosahinge.net.http.HttpMessageServer;

/** Fake operator port that returns prepared responses in order; the last response for a request is repeated. */
final class StandInDaemon implements AutoCloseable {
    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final Map<String, Deque<HttpMessageResponse>> responses = new ConcurrentHashMap<>();
    private final List<HttpMessageRequest> requests = new CopyOnWriteArrayList<>();
    private final HttpMessageServer server = HttpMessageServer.start(new HostPort("127.0.0.1", 0), group, request -> {
        requests.add(request);
        Deque<HttpMessageResponse> prepared = responses.get(request.method() + " " + request.uri());
        // A request without a prepared response never completes, as with a daemon that hangs.
        return prepared == null
                ? new CompletableFuture<>()
                : CompletableFuture.completedFuture(prepared.size() > 1 ? prepared.poll() : prepared.peek());
    });

    StandInDaemon respond(String request, int status, String json) {
        responses.computeIfAbsent(request, key -> new ArrayDeque<>()).add(HttpMessageResponse.json(status, json));
        return this;
    }

    String address() {
        return server.address().toString();
    }

    List<HttpMessageRequest> requests() {
        return requests;
    }

    @Override
    public void close() {
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}

package org.mimosahinge.standin.backend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.LinkedBlockingQueue;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.net.http.HttpMessageRequest;
import org.mimosahinge.net.http.HttpMessageResponse;
import org.mimosahinge.net.http.HttpMessageServer;

/** Operator port of a node that records announcements. */
final class AnnouncementLog implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final BlockingQueue<JsonNode> received = new LinkedBlockingQueue<>();
    private final HttpMessageServer server;
    private volatile String response = "{}";

    AnnouncementLog(NioEventLoopGroup group) {
        server = HttpMessageServer.start(new HostPort("127.0.0.1", 0), group, this::record);
    }

    private CompletionStage<HttpMessageResponse> record(HttpMessageRequest request) {
        try {
            received.add(MAPPER.readTree(request.body()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return CompletableFuture.completedFuture(HttpMessageResponse.json(200, response));
    }

    void respondWith(String json) {
        response = json;
    }

    HostPort address() {
        return server.address();
    }

    JsonNode awaitState(String state) throws InterruptedException {
        JsonNode announcement = received.take();
        while (!announcement.path("state").asText().equals(state)) {
            announcement = received.take();
        }
        return announcement;
    }

    @Override
    public void close() {
        server.close();
    }
}

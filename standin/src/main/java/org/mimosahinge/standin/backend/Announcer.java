package org.mimosahinge.standin.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.net.http.HttpMessageClient;
import org.mimosahinge.net.http.HttpMessageRequest;
import org.mimosahinge.net.http.HttpMessageResponse;
import org.mimosahinge.net.log.EventLog;

/** Posts announcements to the node beside the backend server. */
final class Announcer {

    private static final EventLog LOG = EventLog.of("backend");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpMessageClient http;
    private final HostPort node;

    Announcer(HttpMessageClient http, HostPort node) {
        this.http = http;
        this.node = node;
    }

    /**
     * Announces the server.
     *
     * @param announcement its state
     * @return whether the node requests the server to drain; false also if the node did not respond
     */
    CompletionStage<Boolean> announce(Announcement announcement) {
        try {
            String body = MAPPER.writeValueAsString(announcement);
            return http.send(node, HttpMessageRequest.json("POST", "/v1/announce", body))
                    .handle(this::requestsDrain);
        } catch (JsonProcessingException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private boolean requestsDrain(HttpMessageResponse response, Throwable failure) {
        if (failure != null || response.status() / 100 != 2) {
            LOG.warn("announcement_failed", "node", node, "cause", failure == null ? response.text() : failure);
            return false;
        }
        try {
            return MAPPER.readTree(response.body()).path("drain").asBoolean();
        } catch (IOException e) {
            return false;
        }
    }
}

package org.mimosahinge.standin.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.net.http.HttpMessageClient;
import org.mimosahinge.net.http.HttpMessageRequest;
import org.mimosahinge.net.http.HttpMessageResponse;

/** Tests the backend server as a process. */
class BackendMainTest {

    /** Guards against a graceful stop that aborts a running call or does not end the process. */
    @Test
    void finishesCallsOnSigterm() throws IOException, InterruptedException {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        HttpMessageClient http = HttpMessageClient.create(group, Duration.ofSeconds(30));
        Process process = null;
        try (AnnouncementLog node = new AnnouncementLog(group)) {
            process = start(node.address());
            var announcement = node.awaitState("ready");
            HostPort address = new HostPort(
                    announcement.path("host").asText(),
                    announcement.path("port").asInt());
            CompletableFuture<HttpMessageResponse> call =
                    http.send(address, HttpMessageRequest.get("/slow")).toCompletableFuture();
            awaitRunning(http, address);
            process.destroy();
            node.awaitState("draining");
            assertEquals(200, call.join().status());
            node.awaitState("leaving");
            // A Java process that ends by SIGTERM reports 128 + 15.
            assertEquals(143, process.waitFor());
        } finally {
            if (process != null) {
                process.destroyForcibly();
            }
            http.close();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private static void awaitRunning(HttpMessageClient http, HostPort address) {
        String stats = "";
        while (!stats.contains("\"running\":1")) {
            stats = http.send(address, HttpMessageRequest.get("/_standin/stats"))
                    .toCompletableFuture()
                    .join()
                    .text();
        }
    }

    private static Process start(HostPort node) throws IOException {
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        BackendMain.class.getName(),
                        "--service=listings",
                        "--version=v1",
                        "--listen=127.0.0.1:0",
                        "--node=" + node,
                        "--latency-ms=1500",
                        "--minimum-drain-ms=100")
                .inheritIO()
                .start();
    }
}

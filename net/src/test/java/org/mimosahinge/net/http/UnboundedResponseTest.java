package org.mimosahinge.net.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosahinge.api.world.HostPort;

/** Checks that the client survives servers that send invalid responses or responses without an end. */
@Timeout(60)
class UnboundedResponseTest {

    /** Informational responses without an end are read until this timeout, so it sets the duration of that test. */
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(500);

    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);

    private static final int BLOCK_BYTES = 1024;

    private static final String OK_STATUS_LINE = "HTTP/1.1 200 OK\r\n";

    private static final String BLOCK = "x".repeat(BLOCK_BYTES);

    /** A response that starts with a prefix, followed by bytes that are repeated until the connection is closed. */
    private record UnboundedResponse(String name, String prefix, String repeated) {
        @Override
        public String toString() {
            return name;
        }
    }

    /** Writes the response to one request. */
    @FunctionalInterface
    private interface ResponseScript {
        void answer(int connection, OutputStream out) throws IOException;
    }

    /** A server that writes exactly the bytes that a script gives it. */
    private static final class ScriptedServer implements AutoCloseable {

        private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final CountDownLatch closed = new CountDownLatch(1);
        private final ResponseScript script;
        private int connections;

        ScriptedServer(ResponseScript script) throws IOException {
            this.script = script;
            Thread acceptor = new Thread(this::accept, "scripted-server");
            acceptor.setDaemon(true);
            acceptor.start();
        }

        HostPort address() {
            return new HostPort("127.0.0.1", server.getLocalPort());
        }

        private void accept() {
            while (true) {
                try (Socket socket = server.accept()) {
                    serve(socket, ++connections);
                } catch (IOException e) {
                    closed.countDown();
                    if (server.isClosed()) {
                        return;
                    }
                }
            }
        }

        private void serve(Socket socket, int connection) throws IOException {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.isEmpty()) {
                    script.answer(connection, socket.getOutputStream());
                }
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    private static Stream<UnboundedResponse> unboundedResponses() {
        String chunked = OK_STATUS_LINE + "transfer-encoding: chunked\r\n\r\n";
        return Stream.of(
                new UnboundedResponse("no status line", "", BLOCK),
                new UnboundedResponse("empty lines", "", "\r\n"),
                new UnboundedResponse("reason phrase", "HTTP/1.1 200 ", BLOCK),
                new UnboundedResponse("header value", OK_STATUS_LINE + "x-a: ", BLOCK),
                new UnboundedResponse("header fields", OK_STATUS_LINE, "x-a: b\r\n"),
                new UnboundedResponse("chunk size", chunked + "2\r\nok\r\n", "0"),
                new UnboundedResponse("chunk data", chunked + "7fffffff\r\n", BLOCK),
                new UnboundedResponse("chunks", chunked, "400\r\n" + BLOCK + "\r\n"),
                new UnboundedResponse("trailer fields", chunked + "2\r\nok\r\n0\r\n", "x-a: b\r\n"),
                new UnboundedResponse(
                        "body with content-length",
                        OK_STATUS_LINE + "content-length: " + Long.MAX_VALUE + "\r\n\r\n",
                        BLOCK),
                new UnboundedResponse("body without content-length", OK_STATUS_LINE + "\r\n", BLOCK),
                new UnboundedResponse("informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"));
    }

    /** A response without an end must neither be reported as complete nor be read forever. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("unboundedResponses")
    void unboundedResponseFailsTheExchange(UnboundedResponse unbounded) throws Exception {
        byte[] prefix = unbounded.prefix().getBytes(StandardCharsets.ISO_8859_1);
        byte[] block = unbounded
                .repeated()
                .repeat(Math.max(1, BLOCK_BYTES / unbounded.repeated().length()))
                .getBytes(StandardCharsets.ISO_8859_1);
        EventLoopGroup group = new NioEventLoopGroup(1);
        try (ScriptedServer server = new ScriptedServer((connection, out) -> {
                    out.write(prefix);
                    while (true) {
                        out.write(block);
                    }
                });
                HttpMessageClient client = HttpMessageClient.create(group, SHORT_TIMEOUT)) {
            CompletionException failure = assertThrows(CompletionException.class, () -> get(client, server));
            assertInstanceOf(HttpExchangeException.class, failure.getCause());
            server.closed.await();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    /** Bytes before or after a response must not become part of the next one. */
    @ParameterizedTest(name = "bytes {index}")
    @ValueSource(
            strings = {
                "%s",
                "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n%s",
                "%sx",
                "%s" + OK_STATUS_LINE,
                "%s" + OK_STATUS_LINE + "x-a: ",
                "%s" + OK_STATUS_LINE + "content-length: 5\r\n\r\nwr"
            })
    void eachRequestReceivesItsOwnResponse(String template) throws Exception {
        EventLoopGroup group = new NioEventLoopGroup(1);
        int[] requests = new int[1];
        try (ScriptedServer server = new ScriptedServer((connection, out) -> {
                    // The status differs from that of the surrounding bytes.
                    String response = "HTTP/1.1 404 Not Found\r\ncontent-length: 1\r\n\r\n" + ++requests[0];
                    out.write(String.format(template, response).getBytes(StandardCharsets.ISO_8859_1));
                });
                HttpMessageClient client = HttpMessageClient.create(group, LONG_TIMEOUT)) {
            for (int i = 1; i <= 3; i++) {
                HttpMessageResponse response = get(client, server);
                assertEquals("404 " + i, response.status() + " " + new String(response.body(), StandardCharsets.UTF_8));
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    private static HttpMessageResponse get(HttpMessageClient client, ScriptedServer server) {
        return client.send(server.address(), new HttpMessageRequest("GET", "/", Map.of(), new byte[0]))
                .toCompletableFuture()
                .join();
    }
}

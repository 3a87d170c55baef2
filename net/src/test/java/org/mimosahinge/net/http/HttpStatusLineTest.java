package org.mimosahinge.net.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.world.HostPort;

/** Guards against a malformed status line of the store, or of a health check, that is taken for a response. */
@Timeout(60)
class HttpStatusLineTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource({
        "HTTP/1.1 200 OK, 200",
        "HTTP/1.0 503, 503",
        "HTTP/1.1 599 X, 599",
        "HTTP/1.1 000 X, 0",
        "HTTP/1.1 099 X, 0",
        "HTTP/1.1 600 X, 0",
        "HTTP/1.1 0200 OK, 0",
        "HTTP/1.1 +200 OK, 0",
        "HTTP/1.1 20 OK, 0",
        "HTTP/1.1 X OK, 0",
        "HTTP/2.0 200 OK, 0",
        "HTTP/1. 200 OK, 0",
        "http/1.1 200 OK, 0"
    })
    void malformedStatusLineFailsTheExchange(String line, int status) throws Exception {
        EventLoopGroup group = new NioEventLoopGroup(1);
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HttpMessageClient client = HttpMessageClient.create(group, TIMEOUT)) {
            CompletableFuture<HttpMessageResponse> result = client.send(
                            new HostPort("127.0.0.1", server.getLocalPort()), HttpMessageRequest.get("/"))
                    .toCompletableFuture();
            try (Socket connection = server.accept()) {
                connection
                        .getOutputStream()
                        .write((line + "\r\ncontent-length: 2\r\n\r\nok").getBytes(StandardCharsets.ISO_8859_1));
                if (status > 0) {
                    assertEquals(status, result.join().status());
                    return;
                }
                CompletionException failure = assertThrows(CompletionException.class, result::join);
                assertInstanceOf(HttpExchangeException.class, failure.getCause());
                // Ends only when the client has closed the connection.
                connection.getInputStream().transferTo(OutputStream.nullOutputStream());
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}

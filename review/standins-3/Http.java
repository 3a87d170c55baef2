import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over plain sockets, one thread a connection. */
final class Http {

    private Http() {}

    record Request(String method, String target, Map<String, String> headers, byte[] body) {

        String path() {
            int end = target.indexOf('?');
            return end < 0 ? target : target.substring(0, end);
        }

        Map<String, String> query() {
            Map<String, String> query = new HashMap<>();
            int start = target.indexOf('?');
            if (start >= 0) {
                for (String part : target.substring(start + 1).split("&")) {
                    int equals = part.indexOf('=');
                    query.put(
                            part.substring(0, equals),
                            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
            return query;
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    record Response(int status, Map<String, String> headers, byte[] body) {

        static Response json(int status, String text) {
            return new Response(
                    status, Map.of("Content-Type", "application/json"), text.getBytes(StandardCharsets.UTF_8));
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    @FunctionalInterface
    interface Handler {
        Response handle(Request request) throws Exception;
    }

    static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends one request on a new connection. */
    static Response send(String address, Request request, int timeoutMs) throws IOException {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    timeoutMs);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            write(socket.getOutputStream(), request.method() + " " + request.target() + " HTTP/1.1", request.headers(),
                    request.body());
            return readResponse(new BufferedInputStream(socket.getInputStream()));
        }
    }

    private static void write(OutputStream out, String firstLine, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(firstLine).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        message.writeBytes(body);
        out.write(message.toByteArray());
        out.flush();
    }

    static Response readResponse(InputStream in) throws IOException {
        String line = line(in);
        int status = Integer.parseInt(line.split(" ")[1]);
        Map<String, String> headers = headers(in);
        return new Response(status, headers, body(in, headers));
    }

    private static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
        }
        return headers;
    }

    private static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
        if (headers.getOrDefault("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
                body.writeBytes(exactly(in, size));
                line(in);
                if (size == 0) {
                    return body.toByteArray();
                }
            }
        }
        return exactly(in, Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("body ends early");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("connection closed");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    /** A server that answers the requests of a connection in order. */
    static final class Server implements AutoCloseable {

        private final ServerSocket socket;
        private final Handler handler;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server(String host, int port, Handler handler) throws IOException {
            this.handler = handler;
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName(host), port), 200);
            Thread acceptor = new Thread(this::accept);
            acceptor.setDaemon(true);
            acceptor.start();
        }

        String address() {
            return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket connection = socket.accept();
                    open.add(connection);
                    Thread thread = new Thread(() -> serve(connection));
                    thread.setDaemon(true);
                    thread.start();
                }
            } catch (IOException e) {
                // The server is closed.
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                connection.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(connection.getInputStream());
                while (true) {
                    String[] first = line(in).split(" ");
                    Map<String, String> headers = headers(in);
                    byte[] body = body(in, headers);
                    Response response = handler.handle(new Request(first[0], first[1], headers, body));
                    if (response == null) {
                        return;
                    }
                    write(connection.getOutputStream(), "HTTP/1.1 " + response.status() + " -",
                            new LinkedHashMap<>(response.headers()), response.body());
                    if (headers.getOrDefault("Connection", "").equalsIgnoreCase("close")) {
                        return;
                    }
                }
            } catch (Exception e) {
                // The other end is gone, or sent what this stand-in cannot read.
            } finally {
                open.remove(connection);
            }
        }

        @Override
        public void close() {
            try {
                socket.close();
                for (Socket connection : open) {
                    connection.close();
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}

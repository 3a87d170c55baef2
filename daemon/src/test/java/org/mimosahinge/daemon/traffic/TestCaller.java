package org.mimosahinge.daemon.traffic;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.mimosahinge.api.world.HostPort;

/** A caller whose requests a test writes byte by byte, on one connection. */
final class TestCaller implements AutoCloseable {

    /** Longer than any response takes, so that a missing response fails the test instead of blocking it. */
    private static final int READ_LIMIT_MS = 30_000;

    private static final Pattern STATUS = Pattern.compile("HTTP/1.1 (\\d+)");

    private final Socket socket;

    TestCaller(HostPort node) throws IOException {
        socket = new Socket(node.host(), node.port());
        socket.setSoTimeout(READ_LIMIT_MS);
    }

    TestCaller send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    OutputStream output() throws IOException {
        return socket.getOutputStream();
    }

    /** Reads one response with a stated length and returns its status. */
    int status() throws IOException {
        return Integer.parseInt(response()[0].split(" ", -1)[1]);
    }

    /** Reads one response with a stated length and returns its body. */
    String body() throws IOException {
        return response()[1];
    }

    /** Reads status line and body. */
    private String[] response() throws IOException {
        InputStream in = socket.getInputStream();
        List<String> head = new ArrayList<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            head.add(line);
        }
        int length = head.stream()
                .filter(line -> line.startsWith("content-length: "))
                .mapToInt(line -> Integer.parseInt(line.substring("content-length: ".length())))
                .findFirst()
                .orElse(0);
        return new String[] {head.get(0), new String(in.readNBytes(length), StandardCharsets.ISO_8859_1)};
    }

    /** Reads until the node closes the connection and returns the statuses of all responses. */
    String statuses() throws IOException {
        return statuses(new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1));
    }

    /** Returns the statuses of all responses in a text. */
    static String statuses(String text) {
        List<String> found =
                STATUS.matcher(text).results().map(match -> match.group(1)).toList();
        return String.join(" ", found);
    }

    /** Resets the connection, like a process that exits with unread bytes. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}

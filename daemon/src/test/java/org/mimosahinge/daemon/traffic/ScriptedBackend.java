package org.mimosahinge.daemon.traffic;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.world.HostPort;

/** A backend server whose responses a test writes byte by byte; one thread for each connection. */
final class ScriptedBackend implements AutoCloseable {

    /** A received request. */
    record Received(String method, String uri, List<String> headers, String body, int connection) {
        String header(String name) {
            String prefix = name + ": ";
            return headers.stream()
                    .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(prefix))
                    .map(line -> line.substring(prefix.length()))
                    .findFirst()
                    .orElse("");
        }
    }

    /** Responds to one request; the connection stays open if it returns normally. */
    @FunctionalInterface
    interface Script {
        void respond(Received request, OutputStream out) throws Exception;
    }

    final List<Received> received = new CopyOnWriteArrayList<>();
    final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ServerSocket server;
    private final Script script;

    private ScriptedBackend(Script script) throws IOException {
        this.script = script;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        spawn(this::accept);
    }

    static ScriptedBackend start(Script script) throws IOException {
        return new ScriptedBackend(script);
    }

    static ScriptedBackend echo(String name) throws IOException {
        return start((request, out) -> respond(out, "200 OK", name + " " + request.uri() + " " + request.body()));
    }

    static void respond(OutputStream out, String status, String body, String... headers) throws IOException {
        String extra = headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n";
        write(out, "HTTP/1.1 " + status + "\r\n" + extra + "content-length: " + body.length() + "\r\n\r\n" + body);
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Waits until requests have been read; their sender may give up before this process gets to read them. */
    int awaitRequests(int count) throws InterruptedException {
        long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (received.size() < count && System.nanoTime() - limit < 0) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        return received.size();
    }

    HostPort address() {
        return new HostPort("127.0.0.1", server.getLocalPort());
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            sockets.add(socket);
            int number = sockets.size();
            spawn(() -> serve(socket, number));
        }
    }

    private void serve(Socket socket, int number) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Received request = read(in, number); request != null; request = read(in, number)) {
                received.add(request);
                script.respond(request, socket.getOutputStream());
            }
        }
    }

    private static Received read(InputStream in, int number) throws IOException {
        String head = line(in);
        if (head.isEmpty()) {
            return null;
        }
        String[] words = head.split(" ", -1);
        List<String> headers = new CopyOnWriteArrayList<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            headers.add(line);
        }
        Received request = new Received(words[0], words[1], headers, "", number);
        StringBuilder body = new StringBuilder();
        if (request.header("transfer-encoding").equals("chunked")) {
            for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
                body.append(new String(in.readNBytes(size), StandardCharsets.ISO_8859_1));
                line(in);
            }
            line(in);
        } else if (!request.header("content-length").isEmpty()) {
            int length = Integer.parseInt(request.header("content-length"));
            body.append(new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
        }
        return new Received(words[0], words[1], headers, body.toString(), number);
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

    /** A task on a connection that ends when either side closes it. */
    interface Work {
        void run() throws Exception;
    }

    static void spawn(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (SocketException e) {
                // The test or the other end closed the socket.
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Closes the server socket and all connections, like the exit of the process. */
    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}

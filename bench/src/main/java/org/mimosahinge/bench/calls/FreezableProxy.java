package org.mimosahinge.bench.calls;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.bench.Await;

/** TCP proxy of a node that can stop forwarding on open connections for good while new connections work. */
final class FreezableProxy implements AutoCloseable {

    private static final int COPY_BUFFER_BYTES = 1 << 16;
    private static final long FREEZE_POLL_MS = 50;

    private final ServerSocket server;
    private final HostPort target;
    private volatile boolean isolated;
    private final List<ProxiedConnection> connections = new CopyOnWriteArrayList<>();

    private FreezableProxy(HostPort target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startThread(this::acceptConnections);
    }

    static FreezableProxy to(HostPort target) {
        try {
            return new FreezableProxy(target);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    HostPort address() {
        return new HostPort("127.0.0.1", server.getLocalPort());
    }

    /** Stops forwarding on all open connections without closing them. */
    void freeze() {
        connections.forEach(connection -> connection.frozen = true);
    }

    /** Stops forwarding on open and future connections without closing them. */
    void isolate() {
        isolated = true;
        freeze();
    }

    private void acceptConnections() throws IOException {
        while (true) {
            Socket client = server.accept();
            Socket upstream = new Socket(target.host(), target.port());
            client.setTcpNoDelay(true);
            upstream.setTcpNoDelay(true);
            ProxiedConnection connection = new ProxiedConnection(client, upstream);
            connection.frozen = isolated;
            connections.add(connection);
            startThread(() -> connection.copy(client, upstream));
            startThread(() -> connection.copy(upstream, client));
        }
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startThread(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // A peer closed its connection, or the measurement has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() {
        try {
            server.close();
            for (ProxiedConnection connection : connections) {
                connection.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static final class ProxiedConnection {
        private final Socket client;
        private final Socket upstream;
        private volatile boolean frozen;

        ProxiedConnection(Socket client, Socket upstream) {
            this.client = client;
            this.upstream = upstream;
        }

        void copy(Socket from, Socket to) throws IOException {
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                byte[] buffer = new byte[COPY_BUFFER_BYTES];
                for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                    while (frozen && !from.isClosed()) {
                        Await.sleep(FREEZE_POLL_MS);
                    }
                    out.write(buffer, 0, read);
                }
            } finally {
                close();
            }
        }

        void close() throws IOException {
            client.close();
            upstream.close();
        }
    }
}

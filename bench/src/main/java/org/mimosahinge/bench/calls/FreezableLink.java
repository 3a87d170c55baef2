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

/** Forwards TCP connections to a node; open ones can be made silent for good while new ones work. */
final class FreezableLink implements AutoCloseable {

    private static final int COPY_BYTES = 1 << 16;
    private static final long POLL_MS = 50;

    private final ServerSocket server;
    private final HostPort target;
    private volatile boolean cut;
    private final List<Pair> pairs = new CopyOnWriteArrayList<>();

    private FreezableLink(HostPort target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        spawn(this::accept);
    }

    static FreezableLink to(HostPort target) {
        try {
            return new FreezableLink(target);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    HostPort address() {
        return new HostPort("127.0.0.1", server.getLocalPort());
    }

    /** Makes all open connections silent. */
    void freeze() {
        pairs.forEach(pair -> pair.frozen = true);
    }

    /** Makes open and future connections silent. */
    void cut() {
        cut = true;
        freeze();
    }

    private void accept() throws IOException {
        while (true) {
            Socket near = server.accept();
            Socket far = new Socket(target.host(), target.port());
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            Pair pair = new Pair(near, far);
            pair.frozen = cut;
            pairs.add(pair);
            spawn(() -> pair.copy(near, far));
            spawn(() -> pair.copy(far, near));
        }
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void spawn(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // One end closed its connection or the measurement ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() {
        try {
            server.close();
            for (Pair pair : pairs) {
                pair.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static final class Pair {
        private final Socket near;
        private final Socket far;
        private volatile boolean frozen;

        Pair(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }

        void copy(Socket from, Socket to) throws IOException {
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                byte[] buffer = new byte[COPY_BYTES];
                for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                    while (frozen && !from.isClosed()) {
                        Await.sleep(POLL_MS);
                    }
                    out.write(buffer, 0, read);
                }
            } finally {
                close();
            }
        }

        void close() throws IOException {
            near.close();
            far.close();
        }
    }
}

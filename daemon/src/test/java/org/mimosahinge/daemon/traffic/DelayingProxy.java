package org.mimosahinge.daemon.traffic;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.mimosahinge.api.world.HostPort;

/** A TCP proxy to one address that delays the bytes sent to it; bytes sent back are not delayed. */
final class DelayingProxy implements AutoCloseable {

    private static final int READ_BYTES = 65_536;

    private final ServerSocket server;
    private final HostPort target;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile long delayMs;

    DelayingProxy(HostPort target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        ScriptedBackend.spawn(this::accept);
    }

    HostPort address() {
        return new HostPort("127.0.0.1", server.getLocalPort());
    }

    void delay(long ms) {
        delayMs = ms;
    }

    private void accept() throws Exception {
        while (true) {
            Socket from = server.accept();
            Socket to = new Socket(target.host(), target.port());
            from.setTcpNoDelay(true);
            to.setTcpNoDelay(true);
            sockets.add(from);
            sockets.add(to);
            ScriptedBackend.spawn(() -> copy(from, to, true));
            ScriptedBackend.spawn(() -> copy(to, from, false));
        }
    }

    private void copy(Socket from, Socket to, boolean delayed) throws Exception {
        byte[] buffer = new byte[READ_BYTES];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                if (delayed) {
                    Thread.sleep(delayMs);
                }
                out.write(buffer, 0, read);
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}

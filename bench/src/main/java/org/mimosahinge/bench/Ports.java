package org.mimosahinge.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.mimosahinge.api.world.HostPort;

/**
 * Hands out free ports of the loopback interface for processes that bind them later.
 *
 * <p>The ports lie below the range from which the kernel takes the ports of outgoing connections. A port of that range
 * may be taken between its choice and the start of the process. The first port is random, so that runs that overlap
 * rarely choose the same ones.
 */
final class Ports {

    private static final int FIRST_PORT = 15_000;
    private static final int END_PORT = 32_000;
    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(END_PORT - FIRST_PORT));

    private Ports() {}

    /**
     * Finds free ports and does not hand them out again in this process.
     *
     * @param count how many
     * @return different addresses
     */
    static List<HostPort> allocate(int count) {
        List<HostPort> addresses = new ArrayList<>();
        for (int attempts = 0; addresses.size() < count; attempts++) {
            if (attempts > END_PORT - FIRST_PORT) {
                throw new BenchException("No free port between " + FIRST_PORT + " and " + END_PORT);
            }
            int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), END_PORT - FIRST_PORT);
            if (isFree(port)) {
                addresses.add(new HostPort("127.0.0.1", port));
            }
        }
        return addresses;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}

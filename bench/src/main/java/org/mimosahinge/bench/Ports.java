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
 * Allocates free ports of the loopback interface for processes that bind them later.
 *
 * <p>The ports are below the kernel's ephemeral range, because an outgoing connection could take a port of that range
 * before the process binds it. The first port is random, so that concurrent runs rarely choose the same ports.
 */
final class Ports {

    private static final int FIRST_PORT = 15_000;
    private static final int END_PORT = 32_000;
    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(END_PORT - FIRST_PORT));

    private Ports() {}

    /**
     * Allocates ports that are free now; this JVM does not allocate them again before the range is used up.
     *
     * @param count number of ports
     * @return distinct loopback addresses
     */
    static List<HostPort> allocate(int count) {
        List<HostPort> addresses = new ArrayList<>();
        for (int attempts = 0; addresses.size() < count; attempts++) {
            if (attempts > END_PORT - FIRST_PORT) {
                throw new BenchException("No free port from " + FIRST_PORT + " to " + (END_PORT - 1));
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

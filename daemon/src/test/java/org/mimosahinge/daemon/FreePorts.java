package org.mimosahinge.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Finds ports for servers whose address must be known before they start.
 *
 * <p>They lie below the ephemeral ports, since a connection could take one of these before the server is bound. Each
 * process takes its ports from blocks that it has locked, since another run of the tests at the same time could take a
 * port between the probe and the start of the server.
 */
public final class FreePorts {

    private static final int FIRST_PORT = 10_000;
    private static final int BLOCKS = 100;
    private static final int PORTS_IN_BLOCK = 200;

    private static int nextPort;
    private static int endOfBlock;
    private static int nextBlock = (int) (ProcessHandle.current().pid() % BLOCKS);

    private FreePorts() {}

    /**
     * Returns a free port.
     *
     * @return the port
     */
    public static synchronized int next() {
        while (true) {
            if (nextPort == endOfBlock) {
                lockNextBlock();
            }
            int port = nextPort++;
            try (ServerSocket probe = new ServerSocket()) {
                probe.bind(new InetSocketAddress("127.0.0.1", port));
                return port;
            } catch (IOException e) {
                // A program that is not a test uses the port; the next one may be free.
                continue;
            }
        }
    }

    private static void lockNextBlock() {
        int block;
        do {
            block = nextBlock;
            nextBlock = (nextBlock + 1) % BLOCKS;
        } while (!tryLock(block));
        nextPort = FIRST_PORT + block * PORTS_IN_BLOCK;
        endOfBlock = nextPort + PORTS_IN_BLOCK;
    }

    /** The lock is held until the process ends. */
    private static boolean tryLock(int block) {
        Path file = Path.of(System.getProperty("java.io.tmpdir"), "mimosahinge-test-ports-" + block + ".lock");
        try {
            FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            FileLock lock = channel.tryLock();
            if (lock == null) {
                channel.close();
            }
            return lock != null;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

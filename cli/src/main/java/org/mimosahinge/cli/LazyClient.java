package org.mimosahinge.cli;

import java.util.function.Supplier;
import org.mimosahinge.api.world.HostPort;

/** Creates the client on first use, so that verbs that work offline start no event loop. */
final class LazyClient implements Supplier<OperatorClient>, AutoCloseable {
    private final HostPort node;
    private OperatorClient client;

    LazyClient(HostPort node) {
        this.node = node;
    }

    @Override
    public OperatorClient get() {
        if (client == null) {
            client = OperatorClient.create(node);
        }
        return client;
    }

    @Override
    public void close() {
        if (client != null) {
            client.close();
        }
    }
}

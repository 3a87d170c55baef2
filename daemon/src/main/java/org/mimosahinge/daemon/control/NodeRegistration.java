package org.mimosahinge.daemon.control;

import java.util.List;
import org.mimosahinge.api.platform.Put;
import org.mimosahinge.api.platform.Transaction;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.core.lease.HeldLease;

/**
 * Maintains the node rows in the table service: writes this node's own row and, as relay, deletes those of failed
 * nodes.
 */
final class NodeRegistration {

    private final NodeContext context;
    private boolean registered;
    private boolean writing;

    NodeRegistration(NodeContext context) {
        this.context = context;
    }

    /** Writes this node's row, and retries until a write has succeeded. */
    void advance() {
        if (registered || writing) {
            return;
        }
        writing = true;
        Put row = new Put(RowCodec.nodeKey(context.self()), RowCodec.encode(context.self()));
        context.table()
                .commit(new Transaction(List.of(), List.of(row), List.of()))
                .whenCompleteAsync(
                        (result, failure) -> {
                            writing = false;
                            registered = failure == null;
                        },
                        context.control());
    }

    /** Deletes the rows of failed nodes of this zone under the relay lease. */
    void removeFailed(List<Node> failed, HeldLease relayLease) {
        failed.stream()
                .filter(node -> node.zone().equals(context.self().zone()))
                .forEach(node -> context.table()
                        .commit(new Transaction(
                                List.of(relayLease.fence()), List.of(), List.of(RowCodec.nodeKey(node)))));
    }
}

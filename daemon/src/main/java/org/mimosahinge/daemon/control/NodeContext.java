package org.mimosahinge.daemon.control;

import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.mimosahinge.api.platform.ObjectStore;
import org.mimosahinge.api.platform.TableService;
import org.mimosahinge.api.settings.NodeSettings;
import org.mimosahinge.api.world.Node;

/**
 * The dependencies that all parts of a node's control state share.
 *
 * @param self the node
 * @param settings its settings
 * @param table the platform's table service
 * @param objects the platform's object store
 * @param control runs tasks on the control thread
 * @param nanoTime monotonic clock in nanoseconds
 */
public record NodeContext(
        Node self,
        NodeSettings settings,
        TableService table,
        ObjectStore objects,
        Executor control,
        LongSupplier nanoTime) {

    long nowNanos() {
        return nanoTime.getAsLong();
    }
}

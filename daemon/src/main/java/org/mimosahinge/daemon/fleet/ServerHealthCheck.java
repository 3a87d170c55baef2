package org.mimosahinge.daemon.fleet;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.mimosahinge.api.world.HostPort;

/** Asks the local backend server whether it accepts calls; results arrive on the control thread. */
@FunctionalInterface
public interface ServerHealthCheck {

    /**
     * Sends a health check.
     *
     * @param server address of the backend server
     * @param path path of the health check
     * @return the identifier of the endpoint that accepts calls, empty if it does not; completes exceptionally without a
     *     response
     */
    CompletionStage<Optional<String>> send(HostPort server, String path);
}

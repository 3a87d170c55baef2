package org.mimosahinge.core.routing;

import org.mimosahinge.api.world.Endpoint;

/** A node's view of the load of endpoints. */
@FunctionalInterface
public interface LoadView {

    /**
     * Returns the load of one endpoint.
     *
     * @param endpoint the endpoint
     * @return its load
     */
    EndpointLoad load(Endpoint endpoint);
}

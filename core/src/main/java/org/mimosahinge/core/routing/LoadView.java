package org.mimosahinge.core.routing;

import org.mimosahinge.api.world.Endpoint;

/** The loads of endpoints as known to this node. */
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

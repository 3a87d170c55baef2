package org.mimosahinge.core.routing;

/** A node's view of the load of endpoints. */
@FunctionalInterface
public interface LoadView {

    /**
     * Returns the load of one endpoint.
     *
     * @param endpointId the endpoint
     * @return its load
     */
    EndpointLoad load(String endpointId);
}

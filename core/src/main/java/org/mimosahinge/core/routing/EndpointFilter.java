package org.mimosahinge.core.routing;

import org.mimosahinge.api.world.Endpoint;

/** Selects the endpoints of a service that may take a call. */
@FunctionalInterface
public interface EndpointFilter {

    /**
     * Tests one endpoint.
     *
     * @param endpoint a ready endpoint of the service
     * @return whether it may take the call
     */
    boolean admits(Endpoint endpoint);

    /**
     * Admits the endpoints that this filter and another one admit.
     *
     * @param other the other filter
     * @return the filter
     */
    default EndpointFilter and(EndpointFilter other) {
        return endpoint -> admits(endpoint) && other.admits(endpoint);
    }

    /**
     * Admits the endpoints of one backend server version.
     *
     * @param version the version
     * @return the filter
     */
    static EndpointFilter forVersion(String version) {
        return endpoint -> endpoint.server().version().equals(version);
    }
}

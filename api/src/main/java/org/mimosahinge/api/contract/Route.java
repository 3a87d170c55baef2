package org.mimosahinge.api.contract;

import java.time.Duration;
import java.util.Set;

/**
 * A rule that sends matching requests to a service.
 *
 * @param name unique within the section
 * @param pathPrefix matches request paths by longest prefix
 * @param service the target service
 * @param callClass priority of the calls
 * @param timeout default deadline of a call
 * @param idempotent whether a call may safely run twice
 * @param atMostOnce whether a call needs an idempotency key and runs at most once
 * @param resources resources that the route needs
 */
public record Route(
        String name,
        String pathPrefix,
        String service,
        CallClass callClass,
        Duration timeout,
        boolean idempotent,
        boolean atMostOnce,
        Set<String> resources) {
    /** Copies the resources. */
    public Route {
        resources = Set.copyOf(resources);
    }
}

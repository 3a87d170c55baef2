package org.mimosahinge.core.routing;

import java.util.Set;
import java.util.function.Supplier;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.core.placement.PreferenceOrder;

/**
 * Describes a call that needs an endpoint of a service.
 *
 * @param service the service
 * @param filter selects the endpoints that may take the call
 * @param zone zone of the choosing node
 * @param excluded identifiers of endpoints that were already tried, or have recently refused similar calls
 * @param expectedKb expected size of request and response together, in kilobytes
 * @param preference order in which the choosing node prefers the endpoints; asked for only when a choice needs it
 * @param patienceMs time within which a response is fully useful to the caller, in milliseconds from now; not positive
 *     if the call needs the earliest response
 */
public record EndpointChoiceRequest(
        String service,
        EndpointFilter filter,
        AvailabilityZone zone,
        Set<String> excluded,
        double expectedKb,
        Supplier<PreferenceOrder> preference,
        long patienceMs) {

    /**
     * Describes a call of a node that prefers no endpoints.
     *
     * @param service the service
     * @param filter selects the endpoints that may take the call
     * @param zone zone of the choosing node
     * @param excluded identifiers of endpoints that were already tried
     * @param expectedKb expected size of request and response together, in kilobytes
     */
    public EndpointChoiceRequest(
            String service, EndpointFilter filter, AvailabilityZone zone, Set<String> excluded, double expectedKb) {
        this(service, filter, zone, excluded, expectedKb, () -> PreferenceOrder.NONE, 0);
    }
}

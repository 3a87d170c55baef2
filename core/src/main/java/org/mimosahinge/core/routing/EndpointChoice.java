package org.mimosahinge.core.routing;

import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.Proximity;

/**
 * A chosen endpoint.
 *
 * @param endpoint the endpoint
 * @param proximity its distance from the choosing node
 * @param candidates number of endpoints that it was chosen from
 * @param reason why it was chosen
 * @param reportAgeMs age of its last load report; {@link Long#MAX_VALUE} without a report
 */
public record EndpointChoice(
        Endpoint endpoint, Proximity proximity, int candidates, ChoiceReason reason, long reportAgeMs) {

    /**
     * Creates a choice that does not depend on a working set.
     *
     * @param endpoint the endpoint
     * @param proximity its distance from the choosing node
     * @param candidates number of endpoints that it was chosen from
     */
    public EndpointChoice(Endpoint endpoint, Proximity proximity, int candidates) {
        this(endpoint, proximity, candidates, ChoiceReason.ALL_COMPARED, Long.MAX_VALUE);
    }
}

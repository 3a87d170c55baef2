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
 * @param reportAgeMs age of its last load report; {@link Long#MAX_VALUE} without a report, -1 if the choice does not
 *     depend on reports
 */
public record EndpointChoice(
        Endpoint endpoint, Proximity proximity, int candidates, ChoiceReason reason, long reportAgeMs) {

    /** Value of {@link #reportAgeMs} when the choice does not depend on reports. */
    public static final long REPORTS_UNUSED = -1;

    /**
     * Creates a choice that does not depend on a working set.
     *
     * @param endpoint the endpoint
     * @param proximity its distance from the choosing node
     * @param candidates number of endpoints that it was chosen from
     */
    public EndpointChoice(Endpoint endpoint, Proximity proximity, int candidates) {
        this(endpoint, proximity, candidates, ChoiceReason.ALL_COMPARED, REPORTS_UNUSED);
    }
}

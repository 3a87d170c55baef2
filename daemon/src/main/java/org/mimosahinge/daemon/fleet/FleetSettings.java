package org.mimosahinge.daemon.fleet;

import java.time.Duration;
import org.mimosahinge.core.organisation.OrganisationBounds;
import org.mimosahinge.core.pace.ColdBounds;

/**
 * Limits that the operators' agreement sets for a fleet.
 *
 * @param heartbeat interval at which a backend server reports
 * @param retryRatio retries allowed in the whole fleet, as a fraction of the calls to a service
 * @param retrySlack retries allowed in addition to that fraction in one window
 * @param organisationBounds bounds on the calls of organisations
 * @param coldBounds bounds on the calls to cold backend servers
 */
public record FleetSettings(
        Duration heartbeat,
        double retryRatio,
        int retrySlack,
        OrganisationBounds organisationBounds,
        ColdBounds coldBounds) {}

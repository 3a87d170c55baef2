package org.mimosahinge.daemon.fleet;

import java.time.Duration;

/**
 * Bounds that the operators' agreement sets for a fleet.
 *
 * @param heartbeat interval in which a backend server reports
 * @param retryRatio repeats allowed in the whole fleet, as a share of the calls to a service
 * @param retrySlack repeats allowed beside that share in one window
 */
public record FleetSettings(Duration heartbeat, double retryRatio, int retrySlack) {}

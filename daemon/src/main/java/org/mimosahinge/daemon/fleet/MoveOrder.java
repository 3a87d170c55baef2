package org.mimosahinge.daemon.fleet;

import java.time.Duration;

/**
 * An operator's order to move a service's traffic to another version.
 *
 * @param service the service
 * @param to the version that receives the traffic
 * @param duration time from the order to its deadline
 */
public record MoveOrder(String service, String to, Duration duration) {}

package org.mimosahinge.daemon.fleet;

import java.time.Duration;

/**
 * An operator's order to move a service's traffic.
 *
 * @param service the service
 * @param to the version that is to take over
 * @param duration time until the deadline
 */
public record MoveOrder(String service, String to, Duration duration) {}

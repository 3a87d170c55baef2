package org.mimosahinge.api.contract;

import java.time.Instant;

/**
 * A planned gradual move of a service's traffic to another backend server version.
 *
 * @param to the new backend server version
 * @param start earliest time at which traffic may move
 * @param deadline time by which the new version must receive all traffic
 */
public record Move(String to, Instant start, Instant deadline) {}

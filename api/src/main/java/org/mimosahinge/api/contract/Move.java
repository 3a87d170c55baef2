package org.mimosahinge.api.contract;

import java.time.Instant;

/**
 * A planned shift of a service's traffic to another backend server version.
 *
 * @param to the new backend server version
 * @param start when the first share may move
 * @param deadline when the new version must carry all traffic
 */
public record Move(String to, Instant start, Instant deadline) {}

package org.mimosahinge.api.contract;

import java.time.Duration;

/**
 * Bounds on what a caller may send and how long its connection may stay silent.
 *
 * @param maxHeaderBytes request line and headers together
 * @param maxBodyBytes one request's body
 * @param headerTimeout time from the first byte of a request to the end of its headers
 * @param idleTimeout time that a connection may stay open between requests
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** Limits of a configuration that states none: the defaults of Netty's HTTP codec, and a generous idle time. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16_384, Long.MAX_VALUE, Duration.ofSeconds(30), Duration.ofMinutes(5));
}

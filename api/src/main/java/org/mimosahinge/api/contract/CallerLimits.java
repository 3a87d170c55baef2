package org.mimosahinge.api.contract;

import java.time.Duration;

/**
 * Limits on the size of callers' requests and on how long their connections may be idle.
 *
 * @param maxHeaderBytes maximum size of the request line and headers together
 * @param maxBodyBytes maximum size of a request body
 * @param headerTimeout maximum time from the first byte of a request to the end of its headers
 * @param idleTimeout maximum time that a connection may be idle between requests
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** Limits if the configuration specifies none: the defaults of Netty's HTTP codec and a long idle timeout. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16_384, Long.MAX_VALUE, Duration.ofSeconds(30), Duration.ofMinutes(5));
}

package org.mimosahinge.api.contract;

import java.time.Duration;

/**
 * How a service's backend servers behave before their caches are filled.
 *
 * @param duration time from the start of a backend server for which it stays cold
 * @param callsPerS calls per second that a cold backend server bears
 */
public record ColdStart(Duration duration, double callsPerS) {}

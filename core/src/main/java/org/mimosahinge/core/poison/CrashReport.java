package org.mimosahinge.core.poison;

import java.util.Set;

/**
 * What a node knows of a request that was in flight at crashes; nodes merge the reports of all others.
 *
 * @param request the request
 * @param lost starts of backend servers that ended while they ran such a request
 * @param cleared those of them after which such a request has succeeded
 */
public record CrashReport(Fingerprint request, Set<BackendStart> lost, Set<BackendStart> cleared) {
    /** Copies the sets. */
    public CrashReport {
        lost = Set.copyOf(lost);
        cleared = Set.copyOf(cleared);
    }
}

package org.mimosahinge.core.organisation;

import java.time.Duration;

/**
 * Bounds on the calls of organisations, from the operators' agreement.
 *
 * @param strictRevocation whether a withdrawn API key must end also on nodes without contact to the others
 * @param revocation time from the acknowledgement of a configuration within which a key that it withdraws ends
 * @param quotaWindow length of the time windows in which quotas are checked
 * @param quotaOverage calls beyond a quota that are tolerated, as a fraction of it
 * @param quotaSlack calls beyond a quota and its fraction that are tolerated in one window
 */
public record OrganisationBounds(
        boolean strictRevocation, Duration revocation, Duration quotaWindow, double quotaOverage, int quotaSlack) {

    /** Bounds of an agreement that names none. */
    public static final OrganisationBounds NONE =
            new OrganisationBounds(false, Duration.ofSeconds(5), Duration.ofSeconds(5), 0, 0);
}

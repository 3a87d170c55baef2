package org.mimosahinge.core.admission;

/**
 * Recent use of an endpoint by one organisation. All figures but the running calls are averages in which a moment
 * counts less the longer it is past.
 *
 * @param weight what the organisation is owed relative to others
 * @param running number of its calls that occupy a slot
 * @param usedSlots slots that its calls occupied
 * @param demandedSlots slots that its calls would occupy if all were admitted that can still be in time
 * @param decided number of calls that got a slot or ended without one
 * @param started number of calls that got a slot
 * @param atMs time of the figures
 */
record OrganisationUse(
        double weight, int running, double usedSlots, double demandedSlots, double decided, double started, long atMs) {

    /** Covers some tens of calls of an endpoint, and follows the burst of an organisation within seconds. */
    static final double TIME_CONSTANT_MS = 2_000;

    /**
     * Longer than the average of the slots, because many organisations send one endpoint a call in seconds. A
     * longer average compares a burst with the calm before it, and takes its organisation for a starved one.
     */
    static final double OUTCOME_TIME_CONSTANT_MS = 4_000;

    /** Time without calls after which no figure matters any more. */
    static final long FORGOTTEN_AFTER_MS = 50_000;

    static OrganisationUse startingAt(long nowMs) {
        return new OrganisationUse(1, 0, 0, 0, 0, 0, nowMs);
    }

    OrganisationUse at(long nowMs) {
        double elapsedMs = Math.max(0, nowMs - atMs);
        double kept = Math.exp(-elapsedMs / TIME_CONSTANT_MS);
        double outcomesKept = Math.exp(-elapsedMs / OUTCOME_TIME_CONSTANT_MS);
        return new OrganisationUse(
                weight,
                running,
                usedSlots * kept + running * (1 - kept),
                demandedSlots * kept,
                decided * outcomesKept,
                started * outcomesKept,
                Math.max(atMs, nowMs));
    }

    OrganisationUse withArrival(double latestWeight, double slotMs) {
        return new OrganisationUse(
                latestWeight, running, usedSlots, demandedSlots + slotMs / TIME_CONSTANT_MS, decided, started, atMs);
    }

    OrganisationUse withStart() {
        return new OrganisationUse(weight, running + 1, usedSlots, demandedSlots, decided + 1, started + 1, atMs);
    }

    OrganisationUse withRefusal() {
        return new OrganisationUse(weight, running, usedSlots, demandedSlots, decided + 1, started, atMs);
    }

    OrganisationUse withEnd() {
        return new OrganisationUse(weight, Math.max(0, running - 1), usedSlots, demandedSlots, decided, started, atMs);
    }

    /**
     * Returns the used slots by weight, to which the running calls add the time for which they are still likely to run.
     * Otherwise an organisation could take all slots before their use shows.
     */
    double share(double slotMs) {
        return (usedSlots + running * slotMs / TIME_CONSTANT_MS) / weight;
    }

    boolean forgotten(long nowMs) {
        return running == 0 && nowMs - atMs > FORGOTTEN_AFTER_MS;
    }
}

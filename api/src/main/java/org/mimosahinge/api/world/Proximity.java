package org.mimosahinge.api.world;

/** Distance between two availability zones, nearest first. */
public enum Proximity {
    /** Within one availability zone. */
    SAME_ZONE,
    /** Between availability zones of one region. */
    SAME_REGION,
    /** Over a region link. */
    ACROSS_LINK;

    /**
     * Returns the distance between two zones.
     *
     * @param from the caller's zone
     * @param to the endpoint's zone
     * @return the distance
     */
    public static Proximity between(AvailabilityZone from, AvailabilityZone to) {
        if (from.equals(to)) {
            return SAME_ZONE;
        }
        return from.region().equals(to.region()) ? SAME_REGION : ACROSS_LINK;
    }
}

package org.mimosahinge.api.world;

/** Distance between two availability zones, ordered from nearest to farthest. */
public enum Proximity {
    /** Same availability zone. */
    SAME_ZONE,
    /** Different availability zones of the same region. */
    SAME_REGION,
    /** Different regions, connected by a region link. */
    ACROSS_LINK;

    /**
     * Returns the distance between two zones.
     *
     * @param from zone of the caller
     * @param to zone of the endpoint
     * @return the distance
     */
    public static Proximity between(AvailabilityZone from, AvailabilityZone to) {
        if (from.equals(to)) {
            return SAME_ZONE;
        }
        return from.region().equals(to.region()) ? SAME_REGION : ACROSS_LINK;
    }
}

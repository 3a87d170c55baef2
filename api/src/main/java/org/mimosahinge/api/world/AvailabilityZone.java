package org.mimosahinge.api.world;

/**
 * An availability zone inside one region.
 *
 * @param name the zone's name, unique in the deployment
 * @param region the region that holds the zone
 */
public record AvailabilityZone(String name, Region region) {}

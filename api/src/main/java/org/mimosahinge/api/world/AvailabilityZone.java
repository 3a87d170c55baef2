package org.mimosahinge.api.world;

/**
 * An availability zone of a region.
 *
 * @param name zone name, unique in the deployment
 * @param region region that the zone belongs to
 */
public record AvailabilityZone(String name, Region region) {}

package org.mimosahinge.api.world;

/**
 * An availability zone of a region.
 *
 * <p>{@code equals} and {@code hashCode} are written out: the generated ones link method handles at their first use,
 * which delays the start of a node, and stay slow where only the first compiler tier is used.
 *
 * @param name zone name, unique in the deployment
 * @param region region that the zone belongs to
 */
public record AvailabilityZone(String name, Region region) {
    @Override
    public boolean equals(Object other) {
        return this == other
                || other instanceof AvailabilityZone zone && name.equals(zone.name) && region.equals(zone.region);
    }

    @Override
    public int hashCode() {
        return 31 * name.hashCode() + region.hashCode();
    }
}

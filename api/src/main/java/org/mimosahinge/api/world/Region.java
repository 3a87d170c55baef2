package org.mimosahinge.api.world;

/**
 * A region, the largest unit of placement. Regions are connected by region links.
 *
 * <p>{@code equals} and {@code hashCode} are written out: the generated ones link method handles at their first use,
 * which delays the start of a node, and stay slow where only the first compiler tier is used.
 *
 * @param name region name, unique in the deployment
 */
public record Region(String name) {
    @Override
    public boolean equals(Object other) {
        return this == other || other instanceof Region region && name.equals(region.name);
    }

    @Override
    public int hashCode() {
        return name.hashCode();
    }
}

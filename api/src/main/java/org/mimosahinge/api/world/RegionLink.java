package org.mimosahinge.api.world;

/**
 * A directed network link between two regions. It is slow and its traffic is billed by volume.
 *
 * @param from source region
 * @param to destination region
 */
public record RegionLink(Region from, Region to) {}

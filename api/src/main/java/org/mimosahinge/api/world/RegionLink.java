package org.mimosahinge.api.world;

/**
 * The link between two regions, slow and paid by volume.
 *
 * @param from the sending region
 * @param to the receiving region
 */
public record RegionLink(Region from, Region to) {}

package org.mimosahinge.api.world;

/**
 * A region, the largest unit of placement; regions are joined by region links.
 *
 * @param name the region's name, unique in the deployment
 */
public record Region(String name) {}

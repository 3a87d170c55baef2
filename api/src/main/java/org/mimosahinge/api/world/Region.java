package org.mimosahinge.api.world;

/**
 * A region, the largest unit of placement. Regions are connected by region links.
 *
 * @param name region name, unique in the deployment
 */
public record Region(String name) {}

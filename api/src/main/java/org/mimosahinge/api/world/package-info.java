/** Topology of a deployment: regions, availability zones, nodes, region links, backend servers and endpoints. */
package org.mimosahinge.api.world;

package org.mimosahinge.core.config;

import org.mimosahinge.api.world.NodeId;

/**
 * States that a node has failed.
 *
 * @param node the node
 * @param incarnation the failed incarnation; earlier ones are removed as well
 */
public record NodeRemoval(NodeId node, long incarnation) {}

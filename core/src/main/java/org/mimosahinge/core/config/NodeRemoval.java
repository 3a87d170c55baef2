package org.mimosahinge.core.config;

import org.mimosahinge.api.world.NodeId;

/**
 * The removal of a failed node.
 *
 * @param node the node
 * @param incarnation the failed incarnation; earlier ones are removed as well
 */
public record NodeRemoval(NodeId node, long incarnation) {}

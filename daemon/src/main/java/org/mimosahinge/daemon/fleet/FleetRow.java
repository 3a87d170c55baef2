package org.mimosahinge.daemon.fleet;

import org.mimosahinge.api.world.Node;

/** A decoded row of the platform. */
public sealed interface FleetRow {

    /**
     * The operators' configuration.
     *
     * @param document the configuration
     */
    record DocumentRow(Document document) implements FleetRow {}

    /**
     * An order to move traffic.
     *
     * @param order the order
     */
    record OrderRow(MoveOrder order) implements FleetRow {}

    /**
     * The state of a move.
     *
     * @param outcome the state
     */
    record OutcomeRow(MoveOutcome outcome) implements FleetRow {}

    /**
     * A node that has registered itself.
     *
     * @param node the node
     */
    record NodeRow(Node node) implements FleetRow {}
}

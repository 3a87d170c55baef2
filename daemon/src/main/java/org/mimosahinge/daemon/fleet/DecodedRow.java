package org.mimosahinge.daemon.fleet;

import org.mimosahinge.api.world.Node;

/** The decoded content of a platform row. */
public sealed interface DecodedRow {

    /**
     * The operators' configuration.
     *
     * @param config the configuration
     */
    record ConfigRow(FleetConfig config) implements DecodedRow {}

    /** A configuration of the operators that cannot be decoded, so that an earlier one stays in force. */
    record InvalidConfigRow() implements DecodedRow {}

    /**
     * An order to move traffic.
     *
     * @param order the order
     */
    record MoveOrderRow(MoveOrder order) implements DecodedRow {}

    /**
     * The state of a move.
     *
     * @param outcome the state
     */
    record MoveOutcomeRow(MoveOutcome outcome) implements DecodedRow {}

    /**
     * An order to evacuate an availability zone.
     *
     * @param zone name of the zone
     * @param ended whether the row was removed, which ends the evacuation
     */
    record EvacuationRow(String zone, boolean ended) implements DecodedRow {}

    /**
     * A node that has registered itself.
     *
     * @param node the node
     */
    record NodeRow(Node node) implements DecodedRow {}
}

package org.mimosahinge.daemon.fleet;

import java.util.concurrent.CompletionStage;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.core.membership.ServerReport;

/** What the control state writes to the platform; results arrive on the control thread. */
public interface FleetStore {

    /**
     * Registers this node, so that others find it.
     *
     * @param self the node
     * @return fails when the row may not have been written
     */
    CompletionStage<Void> registerNode(Node self);

    /**
     * Keeps the newest report of the backend server beside this node for the node's next start.
     *
     * @param self the node
     * @param report the report
     * @return fails when it may not have been kept
     */
    CompletionStage<Void> saveReport(Node self, ServerReport report);

    /**
     * Removes the row of a node that nobody can reach.
     *
     * @param node the node
     * @param revision revision of its row; a newer row stays
     * @return fails when the row may not have been removed
     */
    CompletionStage<Void> removeNode(Node node, long revision);

    /**
     * Tells operators the state of a move, if no other node has told a newer one.
     *
     * @param outcome the state
     * @param replacedRevision revision of the state that this one replaces, 0 for none
     * @return whether it was written; fails when that is not known
     */
    CompletionStage<Boolean> publishOutcome(MoveOutcome outcome, long replacedRevision);
}

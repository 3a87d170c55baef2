package org.mimosahinge.daemon.fleet;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.core.membership.ServerReport;

/** Writes the control state's data to the platform; results arrive on the control thread. */
public interface FleetStore {

    /**
     * Registers this node, so that other nodes can find it.
     *
     * @param self the node
     * @return completes exceptionally if the row may not have been written
     */
    CompletionStage<Void> registerNode(Node self);

    /**
     * Saves the newest report of the local backend server for the node's next start, unless the row has changed.
     *
     * <p>The condition keeps a delayed write of an older report from replacing a newer one.
     *
     * @param self the node
     * @param report the report
     * @param replacedRevision revision of the row that this report replaces, 0 for none
     * @return the result; completes exceptionally if it is unknown whether the report was saved
     */
    CompletionStage<SavedReport> saveReport(Node self, ServerReport report, long replacedRevision);

    /**
     * Result of saving a report.
     *
     * @param written whether the report was written
     * @param revision revision of the row afterwards, 0 if there is none
     * @param current the report in a row that has changed, empty if the report was written or the row cannot be read
     */
    record SavedReport(boolean written, long revision, Optional<ServerReport> current) {}

    /**
     * Removes the row of a node that no other node can reach.
     *
     * @param node the node
     * @param revision revision of its row; a newer row is not removed
     * @return completes exceptionally if the row may not have been removed
     */
    CompletionStage<Void> removeNode(Node node, long revision);

    /**
     * Publishes the state of a move to operators, unless another node has published a newer one.
     *
     * @param outcome the state
     * @param replacedRevision revision of the state that this one replaces, 0 for none
     * @return whether it was written; completes exceptionally if that is unknown
     */
    CompletionStage<Boolean> publishOutcome(MoveOutcome outcome, long replacedRevision);
}

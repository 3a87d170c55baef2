package org.mimosahinge.daemon.fleet;

import java.util.concurrent.CompletionStage;
import org.mimosahinge.api.world.Node;

/** A store to which a test only saves reports. */
interface ReportStore extends FleetStore {

    @Override
    default CompletionStage<Void> registerNode(Node self) {
        throw new AssertionError("not expected");
    }

    @Override
    default CompletionStage<Void> removeNode(Node node, long revision) {
        throw new AssertionError("not expected");
    }

    @Override
    default CompletionStage<Boolean> publishOutcome(MoveOutcome outcome, long replacedRevision) {
        throw new AssertionError("not expected");
    }
}

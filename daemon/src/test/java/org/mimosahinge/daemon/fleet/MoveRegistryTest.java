package org.mimosahinge.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.config.MovePhase;

/** Verifies that a restarted node does not decide again on a move that was already decided. */
class MoveRegistryTest {

    private static final MoveOrder ORDER = new MoveOrder("shop", "v2", Duration.ofSeconds(15));

    @ParameterizedTest(
            name = "outcome {0} of version {1}, order at {2}, outcome at {3}, outcome first {4}: {5}, unpublished {6}")
    @CsvSource({
        "DONE, v2, 5, 9, true, DONE, false",
        "DONE, v2, 5, 9, false, DONE, false",
        "TAKEN_BACK, v2, 5, 9, true, TAKEN_BACK, false",
        "DONE, v1, 5, 9, true, RUNNING, true",
        "DONE, v2, 9, 5, true, RUNNING, true",
        "RUNNING, v2, 5, 9, true, RUNNING, false"
    })
    void publishedOutcomeIsAdoptedInAnyRowOrder(
            MovePhase phase,
            String version,
            long orderRevision,
            long outcomeRevision,
            boolean outcomeFirst,
            MovePhase expected,
            boolean unpublished) {
        MoveRegistry registry = new MoveRegistry(0);
        MoveOutcome outcome = new MoveOutcome("shop", version, phase);
        if (outcomeFirst) {
            registry.applyOutcome(outcome, outcomeRevision, 1);
        }
        registry.addOrder(ORDER, orderRevision, 1);
        if (!outcomeFirst) {
            registry.applyOutcome(outcome, outcomeRevision, 1);
        }
        assertEquals(expected, registry.states().get("shop").phase());
        MoveRegistry.Move move = registry.moves().iterator().next();
        assertEquals(unpublished, move.unpublishedOutcome().isPresent());
        assertEquals(outcomeRevision, move.publishedRevision());
    }
}

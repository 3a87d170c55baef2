package org.mimosahinge.core.once;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.mimosahinge.api.error.ErrorCode;

/** Guards against a second run of a payment and against refusals that are not true. */
class ClaimDecisionTest {

    private static final Claim MINE = Claim.of("n1", "op-1", "POST /pay");

    @ParameterizedTest(name = "operation {0}, request {1}, {2}: {3}")
    @CsvSource({
        "op-1, POST /pay, CLAIMED, Forward",
        "op-2, POST /pay, CLAIMED, Unknown",
        "op-2, POST /pay, DONE, Answer",
        "op-2, POST /other, DONE, Refuse"
    })
    void forwardsOnlyUnderItsOwnClaim(String operation, String request, Claim.State state, String expected) {
        Claim claim = Claim.of("n2", operation, request);
        Claim found = state == Claim.State.DONE ? claim.done(200, "", "") : claim;
        assertEquals(
                expected,
                ClaimDecision.found(MINE, Optional.of(found)).getClass().getSimpleName());
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource({"PLATFORM_UNAVAILABLE, Refuse", "PLATFORM_ANSWER_LOST, ReadBack", "INTERNAL, ReadBack"})
    void readsBackWhatMayHaveBeenWritten(ErrorCode code, String expected) {
        assertEquals(expected, ClaimDecision.writeFailed(code).getClass().getSimpleName());
    }

    @ParameterizedTest
    @EnumSource(Nothing.class)
    void refusesWithoutAClaim(Nothing nothing) {
        ClaimStep step =
                nothing == Nothing.ABSENT ? ClaimDecision.found(MINE, Optional.empty()) : ClaimDecision.readFailed();
        assertEquals(ClaimStep.Refuse.class, step.getClass());
    }

    private enum Nothing {
        ABSENT,
        UNREADABLE
    }
}

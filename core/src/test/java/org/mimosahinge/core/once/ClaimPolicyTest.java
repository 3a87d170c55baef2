package org.mimosahinge.core.once;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.mimosahinge.api.error.ErrorCode;

/** Guards against a payment that runs twice and against refusals of calls that may have run. */
class ClaimPolicyTest {

    private static final Claim OWN_CLAIM = Claim.of("n1", "op-1", "POST /pay");

    @ParameterizedTest(name = "operation {0}, request {1}, {2}: {3}")
    @CsvSource({
        "op-1, POST /pay, CLAIMED, Forward",
        "op-2, POST /pay, CLAIMED, OutcomeUnknown",
        "op-2, POST /pay, DONE, Replay",
        "op-2, POST /other, DONE, Refuse"
    })
    void forwardsOnlyWhenTheStoredClaimIsItsOwn(String operation, String request, Claim.State state, String expected) {
        Claim claim = Claim.of("n2", operation, request);
        Claim found = state == Claim.State.DONE ? claim.withOutcome(200, "", "") : claim;
        assertEquals(
                expected,
                ClaimPolicy.afterRead(OWN_CLAIM, Optional.of(found)).getClass().getSimpleName());
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource({"PLATFORM_UNAVAILABLE, Refuse", "PLATFORM_ANSWER_LOST, ReadBack", "INTERNAL, ReadBack"})
    void readsBackAClaimThatMayHaveBeenWritten(ErrorCode code, String expected) {
        assertEquals(expected, ClaimPolicy.afterWriteFailure(code).getClass().getSimpleName());
    }

    @ParameterizedTest
    @EnumSource(MissingClaim.class)
    void refusesWithoutAStoredClaim(MissingClaim missing) {
        ClaimStep step = missing == MissingClaim.ABSENT
                ? ClaimPolicy.afterRead(OWN_CLAIM, Optional.empty())
                : ClaimPolicy.afterReadFailure();
        assertEquals(ClaimStep.Refuse.class, step.getClass());
    }

    private enum MissingClaim {
        ABSENT,
        UNREADABLE
    }
}

package org.mimosahinge.core.once;

import java.util.Optional;
import org.mimosahinge.api.error.ErrorCode;

/** Decides the next step of an at-most-once call from the responses of the table service. */
public final class ClaimPolicy {

    private ClaimPolicy() {}

    /**
     * Decides after the stored claim was read, either because the condition of the write failed or because its outcome
     * was unknown.
     *
     * <p>The outcome of a claim that has none recorded stays unknown even when the claiming node is gone, because the
     * call may have run before.
     *
     * @param ownClaim the claim that this call tried to write
     * @param storedClaim the claim in the table, empty when there is none
     * @return the next step
     */
    public static ClaimStep afterRead(Claim ownClaim, Optional<Claim> storedClaim) {
        if (storedClaim.isEmpty()) {
            // If the write of the claim takes effect later, it only blocks the key; nothing was forwarded for it.
            return new ClaimStep.Refuse(ErrorCode.PLATFORM_UNAVAILABLE, "The key could not be claimed");
        }
        Claim stored = storedClaim.get();
        if (stored.operationId().equals(ownClaim.operationId())) {
            return new ClaimStep.Forward();
        }
        if (!stored.request().equals(ownClaim.request())) {
            return new ClaimStep.Refuse(ErrorCode.INVALID_VALUE, "The idempotency key belongs to another request");
        }
        return stored.state() == Claim.State.DONE ? new ClaimStep.Replay(stored) : new ClaimStep.OutcomeUnknown();
    }

    /**
     * Decides after the write of the claim failed.
     *
     * @param code error code of the platform's failure
     * @return the next step
     */
    public static ClaimStep afterWriteFailure(ErrorCode code) {
        return code == ErrorCode.PLATFORM_UNAVAILABLE ? refuseUnavailable() : new ClaimStep.ReadBack();
    }

    /**
     * Decides after reading the claim back failed.
     *
     * @return the next step
     */
    public static ClaimStep afterReadFailure() {
        return refuseUnavailable();
    }

    private static ClaimStep refuseUnavailable() {
        return new ClaimStep.Refuse(ErrorCode.PLATFORM_UNAVAILABLE, "The table service is unavailable");
    }
}

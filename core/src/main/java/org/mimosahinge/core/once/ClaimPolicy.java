package org.mimosahinge.core.once;

import java.util.Optional;
import org.mimosahinge.api.error.ErrorCode;

/** Decides the steps of an at-most-once call from the answers of the table service. */
public final class ClaimPolicy {

    private ClaimPolicy() {}

    /**
     * The condition of the claim did not hold, or the claim was read back.
     *
     * <p>A claim without outcome stays unknown even when its claimer is gone: the call may have run before that.
     *
     * @param ownClaim the claim that this call tried to write
     * @param storedClaim the claim in the table, empty when absent
     * @return the next step
     */
    public static ClaimStep afterRead(Claim ownClaim, Optional<Claim> storedClaim) {
        if (storedClaim.isEmpty()) {
            // A late write of the claim can only block the key; nothing was forwarded for it.
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
     * The write of the claim failed.
     *
     * @param code code of the platform's failure
     * @return the next step
     */
    public static ClaimStep afterWriteFailure(ErrorCode code) {
        return code == ErrorCode.PLATFORM_UNAVAILABLE ? refuseUnavailable() : new ClaimStep.ReadBack();
    }

    /**
     * Reading the claim back failed.
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

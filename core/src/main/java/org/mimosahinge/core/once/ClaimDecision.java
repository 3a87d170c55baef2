package org.mimosahinge.core.once;

import java.util.Optional;
import org.mimosahinge.api.error.ErrorCode;

/** Decides the steps of an at-most-once call from the answers of the table service. */
public final class ClaimDecision {

    private ClaimDecision() {}

    /**
     * The condition of the claim did not hold, or the claim was read back.
     *
     * <p>A claim without outcome stays unknown even when its claimer is gone: the call may have run before that.
     *
     * @param mine the claim that this call tried to write
     * @param found the claim in the table, empty when absent
     * @return the next step
     */
    public static ClaimStep found(Claim mine, Optional<Claim> found) {
        if (found.isEmpty()) {
            // A late write of the claim can only block the key; nothing was forwarded for it.
            return new ClaimStep.Refuse(ErrorCode.PLATFORM_UNAVAILABLE, "The key could not be claimed");
        }
        Claim claim = found.get();
        if (claim.operationId().equals(mine.operationId())) {
            return new ClaimStep.Forward();
        }
        if (!claim.request().equals(mine.request())) {
            return new ClaimStep.Refuse(ErrorCode.INVALID_VALUE, "The idempotency key belongs to another request");
        }
        return claim.state() == Claim.State.DONE ? new ClaimStep.Answer(claim) : new ClaimStep.Unknown();
    }

    /**
     * The write of the claim failed.
     *
     * @param code code of the platform's failure
     * @return the next step
     */
    public static ClaimStep writeFailed(ErrorCode code) {
        return code == ErrorCode.PLATFORM_UNAVAILABLE ? unavailable() : new ClaimStep.ReadBack();
    }

    /**
     * Reading the claim back failed.
     *
     * @return the next step
     */
    public static ClaimStep readFailed() {
        return unavailable();
    }

    private static ClaimStep unavailable() {
        return new ClaimStep.Refuse(ErrorCode.PLATFORM_UNAVAILABLE, "The table service is unavailable");
    }
}

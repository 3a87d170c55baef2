package org.mimosahinge.core.once;

import org.mimosahinge.api.error.ErrorCode;

/** Next step of an at-most-once call. */
public sealed interface ClaimStep {

    /** The key is claimed by this call, which can be forwarded. */
    record Forward() implements ClaimStep {}

    /** It is unknown whether the claim was written, so it must be read back. */
    record ReadBack() implements ClaimStep {}

    /**
     * The call ran before, and its recorded outcome is returned.
     *
     * @param claim the claim with the recorded outcome
     */
    record Replay(Claim claim) implements ClaimStep {}

    /** Another call holds the key and its outcome is unknown. */
    record OutcomeUnknown() implements ClaimStep {}

    /**
     * The call is refused and is guaranteed not to have run.
     *
     * @param code error code for the caller
     * @param reason message for the caller
     */
    record Refuse(ErrorCode code, String reason) implements ClaimStep {}
}

package org.mimosahinge.core.once;

import org.mimosahinge.api.error.ErrorCode;

/** What a node does next with an at-most-once call. */
public sealed interface ClaimStep {

    /** The key is claimed by this call, which is now forwarded. */
    record Forward() implements ClaimStep {}

    /** It is not known whether the claim was written; read it back. */
    record ReadBack() implements ClaimStep {}

    /**
     * The call ran before; its outcome is the answer.
     *
     * @param claim claim with the outcome
     */
    record Replay(Claim claim) implements ClaimStep {}

    /** Another call holds the key and its outcome is not known. */
    record OutcomeUnknown() implements ClaimStep {}

    /**
     * The call is refused and certainly did not run.
     *
     * @param code why
     * @param reason why, for the caller
     */
    record Refuse(ErrorCode code, String reason) implements ClaimStep {}
}

package org.mimosahinge.core.admission;

import java.util.Optional;

/** What happens to a call that asks for a slot. */
public sealed interface AdmissionDecision {

    /** The call takes a slot now. */
    record Run() implements AdmissionDecision {}

    /**
     * The call waits for a slot.
     *
     * @param evicted call of lower priority that gives up its place and is refused
     */
    record Wait(Optional<SlotRequest> evicted) implements AdmissionDecision {}

    /**
     * The call is refused and certainly does not run.
     *
     * @param reason why, for the caller
     * @param estimatedWaitMs time after which the same call would probably have been taken
     */
    record Refuse(String reason, long estimatedWaitMs) implements AdmissionDecision {}
}

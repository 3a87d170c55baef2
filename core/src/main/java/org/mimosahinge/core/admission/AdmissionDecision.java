package org.mimosahinge.core.admission;

import java.util.Optional;

/** Decision on a call that requests a slot. */
public sealed interface AdmissionDecision {

    /** The call gets a slot immediately. */
    record Run() implements AdmissionDecision {}

    /**
     * The call waits for a slot.
     *
     * @param evicted call of lower priority that is removed from the queue and refused
     */
    record Wait(Optional<SlotRequest> evicted) implements AdmissionDecision {}

    /**
     * The call is refused and is guaranteed not to run.
     *
     * @param reason message for the caller
     * @param estimatedWaitMs estimated time until the same call would be admitted
     */
    record Refuse(String reason, long estimatedWaitMs) implements AdmissionDecision {}
}

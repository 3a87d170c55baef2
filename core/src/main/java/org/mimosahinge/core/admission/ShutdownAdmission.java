package org.mimosahinge.core.admission;

import org.mimosahinge.api.contract.CallClass;

/** Decides which calls a stopping node still takes after its callers were asked to leave. */
@FunctionalInterface
public interface ShutdownAdmission {

    /** Time for the response to reach the caller before the process ends. */
    long RESPONSE_MARGIN_MS = 50;

    /**
     * Decides on a call that arrives after callers were asked to leave.
     *
     * @param callClass class of the call
     * @param deadlineMs time left until the call's deadline
     * @param remainingMs time left until the process ends
     * @return true to take the call, false to refuse it as not run
     */
    boolean admits(CallClass callClass, long deadlineMs, long remainingMs);

    /**
     * Takes internal checks that end before the process does, and no other calls.
     *
     * <p>Internal checks come from the node's own backend server, which has calls to finish and no other node to ask.
     * Any other call can go to another node, and might still be running when the process ends.
     *
     * @return the policy
     */
    static ShutdownAdmission internalChecksThatEndInTime() {
        return (callClass, deadlineMs, remainingMs) ->
                callClass == CallClass.INTERNAL_CHECK && deadlineMs + RESPONSE_MARGIN_MS <= remainingMs;
    }
}

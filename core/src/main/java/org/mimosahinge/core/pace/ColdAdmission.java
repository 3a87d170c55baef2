package org.mimosahinge.core.pace;

import java.util.Optional;
import org.mimosahinge.core.admission.AdmissionDecision;
import org.mimosahinge.core.admission.AdmissionView;
import org.mimosahinge.core.admission.SlotRequest;

/** Decides on calls to a cold backend server, which gets them at a limited rate. */
public final class ColdAdmission {

    /** Reason of a refusal. */
    public static final String COLD = "The backend server is cold and gets calls at the rate that it bears";

    /** Factor on the mean service time that covers nine calls in ten. */
    private static final double SERVICE_TIME_FACTOR = 2;

    private ColdAdmission() {}

    /**
     * Delays or refuses a call that would exceed the rate. A call that cannot be sent in time is refused at once, while
     * its caller can still try another endpoint.
     *
     * @param unlimited decision on the call without the rate
     * @param view state of the endpoint
     * @param call the call
     * @param waitMs time until the rate admits the call, 0 for now
     * @return the decision
     */
    public static AdmissionDecision decide(
            AdmissionDecision unlimited, AdmissionView view, SlotRequest call, long waitMs) {
        if (waitMs == 0 || unlimited instanceof AdmissionDecision.Refuse) {
            return unlimited;
        }
        double endMs = view.nowMs() + waitMs + SERVICE_TIME_FACTOR * view.classServiceMs();
        if (endMs > call.deadlineMs()) {
            return new AdmissionDecision.Refuse(COLD, waitMs);
        }
        if (unlimited instanceof AdmissionDecision.Wait) {
            return unlimited;
        }
        return view.waiting().size() < view.limits().queueCapacity()
                ? new AdmissionDecision.Wait(Optional.empty())
                : new AdmissionDecision.Refuse(COLD, waitMs);
    }
}

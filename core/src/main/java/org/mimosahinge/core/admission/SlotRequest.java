package org.mimosahinge.core.admission;

import java.util.Comparator;
import org.mimosahinge.api.contract.CallClass;

/**
 * A call that requests a slot, ordered by class, deadline and arrival.
 *
 * @param callClass class of the call, which is its priority
 * @param deadlineMs time by which the call must have ended to be useful
 * @param arrivalNumber sequence number of the call in order of arrival
 * @param organisation name of the organisation that made the call, empty if none did
 */
public record SlotRequest(CallClass callClass, long deadlineMs, long arrivalNumber, String organisation)
        implements Comparable<SlotRequest> {

    private static final Comparator<SlotRequest> ORDER = Comparator.comparing(SlotRequest::callClass)
            .thenComparingLong(SlotRequest::deadlineMs)
            .thenComparingLong(SlotRequest::arrivalNumber);

    /**
     * Creates a request of a call without an organisation.
     *
     * @param callClass class of the call
     * @param deadlineMs time by which the call must have ended to be useful
     * @param arrivalNumber sequence number of the call in order of arrival
     */
    public SlotRequest(CallClass callClass, long deadlineMs, long arrivalNumber) {
        this(callClass, deadlineMs, arrivalNumber, "");
    }

    @Override
    public int compareTo(SlotRequest other) {
        return ORDER.compare(this, other);
    }
}

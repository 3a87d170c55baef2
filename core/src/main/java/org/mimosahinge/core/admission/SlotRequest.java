package org.mimosahinge.core.admission;

import java.util.Comparator;
import org.mimosahinge.api.contract.CallClass;

/**
 * A call that requests a slot, ordered by class, deadline and arrival.
 *
 * @param callClass class of the call, which is its priority
 * @param deadlineMs time by which the call must have ended to be useful
 * @param arrivalNumber sequence number of the call in order of arrival
 */
public record SlotRequest(CallClass callClass, long deadlineMs, long arrivalNumber) implements Comparable<SlotRequest> {

    private static final Comparator<SlotRequest> ORDER = Comparator.comparing(SlotRequest::callClass)
            .thenComparingLong(SlotRequest::deadlineMs)
            .thenComparingLong(SlotRequest::arrivalNumber);

    @Override
    public int compareTo(SlotRequest other) {
        return ORDER.compare(this, other);
    }
}

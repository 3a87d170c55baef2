package org.mimosahinge.core.admission;

import java.util.Comparator;
import org.mimosahinge.api.contract.CallClass;

/**
 * A call that asks for a slot; the order is class, then deadline, then arrival.
 *
 * @param callClass priority
 * @param deadlineMs when the call must have ended to be of use
 * @param arrivalNumber number of the call in order of arrival
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

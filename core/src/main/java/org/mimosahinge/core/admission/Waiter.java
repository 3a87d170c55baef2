package org.mimosahinge.core.admission;

import java.util.Comparator;
import org.mimosahinge.api.contract.CallClass;

/**
 * A call that asks for a slot; the order is class, then deadline, then arrival.
 *
 * @param callClass priority
 * @param deadlineMs when the call must have ended to be of use
 * @param arrival number of the call in order of arrival
 */
public record Waiter(CallClass callClass, long deadlineMs, long arrival) implements Comparable<Waiter> {

    private static final Comparator<Waiter> ORDER = Comparator.comparing(Waiter::callClass)
            .thenComparingLong(Waiter::deadlineMs)
            .thenComparingLong(Waiter::arrival);

    @Override
    public int compareTo(Waiter other) {
        return ORDER.compare(this, other);
    }
}

package org.mimosahinge.core.admission;

import java.util.SortedSet;

/**
 * State of one endpoint's slots and queue; the queue is read, never kept.
 *
 * @param limits limits of the endpoint
 * @param running calls that hold a slot
 * @param waiting calls that wait, next one first
 * @param serviceMs recent mean time that a call holds its slot
 * @param nowMs the current time
 * @param classServiceMs recent mean time that calls of the arriving one's class hold their slot
 * @param higherClassFraction share of the slots' time that classes above it take, 0 to 1
 */
public record AdmissionView(
        AdmissionLimits limits,
        int running,
        SortedSet<SlotRequest> waiting,
        double serviceMs,
        long nowMs,
        double classServiceMs,
        double higherClassFraction) {

    /**
     * A view in which all classes hold their slots for the same time.
     *
     * @param limits limits of the endpoint
     * @param running calls that hold a slot
     * @param waiting calls that wait, next one first
     * @param serviceMs recent mean time that a call holds its slot
     * @param nowMs the current time
     */
    public AdmissionView(
            AdmissionLimits limits, int running, SortedSet<SlotRequest> waiting, double serviceMs, long nowMs) {
        this(limits, running, waiting, serviceMs, nowMs, serviceMs, 0);
    }
}

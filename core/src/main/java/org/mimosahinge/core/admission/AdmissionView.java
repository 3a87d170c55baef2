package org.mimosahinge.core.admission;

import java.util.SortedSet;

/**
 * State of one endpoint's slots and queue. The queue is the live one: it is only read during a decision and never
 * stored.
 *
 * @param limits limits of the endpoint
 * @param running number of calls that occupy a slot
 * @param waiting queued calls, next one first
 * @param serviceMs recent mean time for which a call occupies a slot
 * @param nowMs the current time
 * @param classServiceMs recent mean time for which calls of the arriving call's class occupy a slot
 * @param higherClassFraction fraction of the slots' time that higher classes use, 0 to 1
 * @param lateRunning number of running calls that were expected to be late when they were admitted
 * @param timelySlots number of slots that are needed by calls that can still be in time
 */
public record AdmissionView(
        AdmissionLimits limits,
        int running,
        SortedSet<SlotRequest> waiting,
        double serviceMs,
        long nowMs,
        double classServiceMs,
        double higherClassFraction,
        int lateRunning,
        double timelySlots) {

    /**
     * Creates a view in which calls of all classes occupy their slots for the same time and none is late.
     *
     * @param limits limits of the endpoint
     * @param running number of calls that occupy a slot
     * @param waiting queued calls, next one first
     * @param serviceMs recent mean time for which a call occupies a slot
     * @param nowMs the current time
     */
    public AdmissionView(
            AdmissionLimits limits, int running, SortedSet<SlotRequest> waiting, double serviceMs, long nowMs) {
        this(limits, running, waiting, serviceMs, nowMs, serviceMs, 0, 0, 0);
    }
}

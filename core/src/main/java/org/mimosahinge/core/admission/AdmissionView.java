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
 */
public record AdmissionView(
        AdmissionLimits limits, int running, SortedSet<Waiter> waiting, double serviceMs, long nowMs) {}

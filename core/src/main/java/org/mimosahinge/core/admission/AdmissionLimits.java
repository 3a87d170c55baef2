package org.mimosahinge.core.admission;

import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.ServiceLimits;
import org.mimosahinge.api.world.BackendServer;

/**
 * Admission limits of one endpoint.
 *
 * @param slots number of calls that may run concurrently
 * @param reservedSlots number of these slots that only internal checks may use
 * @param queueCapacity number of calls that may wait for a slot
 */
public record AdmissionLimits(int slots, int reservedSlots, int queueCapacity) {

    /**
     * Reserves one slot in ten, which is enough because internal checks are short and costs the other classes little
     * capacity.
     */
    private static final int RESERVED_DIVISOR = 10;

    /** Two rounds of calls behind the running ones usually end within the target latency, longer queues do not. */
    private static final int WAITING_PER_SLOT = 2;

    /**
     * Returns the limits of an endpoint.
     *
     * @param server the backend server
     * @param limits limits of its service
     * @return the limits
     */
    public static AdmissionLimits of(BackendServer server, ServiceLimits limits) {
        int slots = Math.max(1, Math.min(server.slots(), server.maxConnections()));
        int reserved = slots == 1 ? 0 : Math.max(1, slots / RESERVED_DIVISOR);
        return new AdmissionLimits(slots, reserved, limits.queueCapacity());
    }

    /**
     * Returns the limits of an endpoint whose service gets no internal checks.
     *
     * @return limits that reserve no slot
     */
    public AdmissionLimits withoutReserve() {
        return reservedSlots == 0 ? this : new AdmissionLimits(slots, 0, queueCapacity);
    }

    /**
     * Returns the limits while no call has ended. Nothing tells then how long a call would wait, and the callers of a
     * fleet that has just started come all at once.
     *
     * @return limits with a short queue
     */
    public AdmissionLimits beforeFirstCall() {
        return new AdmissionLimits(slots, reservedSlots, Math.min(queueCapacity, WAITING_PER_SLOT * slots));
    }

    /**
     * Returns the number of slots that a class may use.
     *
     * @param callClass the class
     * @return the number of slots
     */
    public int slotsFor(CallClass callClass) {
        return callClass == CallClass.INTERNAL_CHECK ? slots : slots - reservedSlots;
    }
}

package org.mimosahinge.core.fanout;

/**
 * Sizes of control messages on the wire in bytes, as measured.
 *
 * @param heartbeat one heartbeat frame
 * @param update one configuration update for one changed section, compressed
 * @param endpoint one endpoint's state within an update
 * @param reportBase one report without evidence
 * @param reportEvidence evidence and halt marks per service with a running move, within a report
 * @param headRead request and response of one read of the head row
 * @param leaseWrite request and response of one renewal of a lease
 */
public record ControlSizes(
        double heartbeat,
        double update,
        double endpoint,
        double reportBase,
        double reportEvidence,
        double headRead,
        double leaseWrite) {}

package org.mimosahinge.core.fanout;

/**
 * Measured sizes of control messages on the wire, in bytes.
 *
 * @param heartbeatBytes one heartbeat frame
 * @param updateBytes one configuration update for one changed section, compressed
 * @param endpointBytes one endpoint's state within an update
 * @param reportBaseBytes one report without call outcomes
 * @param reportCallOutcomesBytes call outcomes and halt marks of one service with a running move, within a report
 * @param headReadBytes request and response of one read of the head row
 * @param leaseWriteBytes request and response of one renewal of a lease
 */
public record ControlSizes(
        double heartbeatBytes,
        double updateBytes,
        double endpointBytes,
        double reportBaseBytes,
        double reportCallOutcomesBytes,
        double headReadBytes,
        double leaseWriteBytes) {}

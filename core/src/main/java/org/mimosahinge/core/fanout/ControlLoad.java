package org.mimosahinge.core.fanout;

/**
 * How often things happen in a deployment and how large it is.
 *
 * @param treeDegree children per node of a zone's tree
 * @param zonesPerRegion availability zones, and so relays, in one region
 * @param regions regions
 * @param configChangesPerSecond accepted changes of the configuration
 * @param endpointChangesPerSecond changes of endpoint states in the whole deployment
 * @param runningMoves services with a running move
 * @param heartbeatsPerSecond heartbeats per link and direction
 * @param reportsPerSecond reports per link towards the gateway
 * @param leaseRenewalsPerSecond renewals per lease
 * @param headReadsPerSecond reads of the head row by the gateway of the store region
 */
public record ControlLoad(
        double treeDegree,
        double zonesPerRegion,
        double regions,
        double configChangesPerSecond,
        double endpointChangesPerSecond,
        double runningMoves,
        double heartbeatsPerSecond,
        double reportsPerSecond,
        double leaseRenewalsPerSecond,
        double headReadsPerSecond) {}

package org.mimosahinge.core.fanout;

/**
 * Size of a deployment and rates of its control traffic.
 *
 * @param treeDegree children per node of a zone's tree
 * @param zonesPerRegion availability zones per region; each has a relay
 * @param regions regions
 * @param configChangesPerSecond accepted changes of the configuration
 * @param endpointChangesPerSecond changes of endpoint states in the deployment
 * @param runningMoves services with a running move
 * @param heartbeatsPerSecond heartbeats per connection and direction
 * @param reportsPerSecond reports per connection towards the gateway
 * @param leaseRenewalsPerSecond renewals of each lease
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

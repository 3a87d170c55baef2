package org.mimosahinge.core.fanout;

/**
 * How often things happen in a deployment and how large it is.
 *
 * @param degree children per node of a zone's tree
 * @param zonesPerRegion availability zones, and so relays, in one region
 * @param regions regions
 * @param changesPerSecond accepted changes of the configuration
 * @param endpointChangesPerSecond changes of endpoint states in the whole deployment
 * @param movesRunning services with a running move
 * @param heartbeatsPerSecond heartbeats per link and direction
 * @param reportsPerSecond reports per link towards the gateway
 * @param renewalsPerSecond renewals per lease
 * @param headReadsPerSecond reads of the head row by the gateway of the store region
 */
public record ControlLoad(
        double degree,
        double zonesPerRegion,
        double regions,
        double changesPerSecond,
        double endpointChangesPerSecond,
        double movesRunning,
        double heartbeatsPerSecond,
        double reportsPerSecond,
        double renewalsPerSecond,
        double headReadsPerSecond) {}

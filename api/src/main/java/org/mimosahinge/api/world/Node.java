package org.mimosahinge.api.world;

/**
 * A running daemon on one VM.
 *
 * @param id the stable identity
 * @param incarnation start time in milliseconds since the epoch; grows with each restart
 * @param zone the zone of the VM
 * @param address the address for frames from other nodes
 */
public record Node(NodeId id, long incarnation, AvailabilityZone zone, HostPort address) {}

package org.mimosahinge.api.world;

/**
 * A daemon that runs on a VM.
 *
 * @param id identity that is stable across restarts
 * @param incarnation start time in milliseconds since the epoch; increases with each restart
 * @param zone availability zone of the VM
 * @param address address that accepts frames from other nodes
 */
public record Node(NodeId id, long incarnation, AvailabilityZone zone, HostPort address) {}

package org.mimosahinge.bench;

import java.util.List;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Region;

/**
 * A VM that runs one daemon, with its zone and the addresses of the daemon.
 *
 * @param id the node's identity
 * @param zone the zone
 * @param callerAddress address that accepts calls
 * @param peerAddress address that accepts connections of other nodes
 * @param operatorAddress address of the operator API
 */
public record Machine(
        String id, AvailabilityZone zone, HostPort callerAddress, HostPort peerAddress, HostPort operatorAddress) {

    /**
     * Creates a VM whose daemon uses free ports of the loopback interface.
     *
     * @param id the node's identity
     * @param zone the zone
     * @return the VM
     */
    public static Machine withFreePorts(AvailabilityZone zone, String id) {
        List<HostPort> ports = Ports.allocate(3);
        return new Machine(id, zone, ports.get(0), ports.get(1), ports.get(2));
    }

    /**
     * Formats the daemon's settings as JSON.
     *
     * @param platformAddress address of the platform
     * @param storeRegion region of the platform's store
     * @return the content of the settings file
     */
    public String settings(HostPort platformAddress, Region storeRegion) {
        return """
                {
                  "nodeId": "%s", "zone": "%s", "region": "%s",
                  "callerAddress": "%s", "peerAddress": "%s", "operatorAddress": "%s",
                  "platformAddress": "%s", "storeRegion": "%s"
                }
                """
                .formatted(
                        id,
                        zone.name(),
                        zone.region().name(),
                        callerAddress,
                        peerAddress,
                        operatorAddress,
                        platformAddress,
                        storeRegion.name());
    }
}

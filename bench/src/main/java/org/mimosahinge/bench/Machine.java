package org.mimosahinge.bench;

import java.util.List;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Region;

/**
 * A VM of a run: its zone and the addresses of its daemon.
 *
 * @param id the node's identity
 * @param zone the zone
 * @param callerAddress address for callers
 * @param peerAddress address for other nodes
 * @param operatorAddress the operator port
 */
public record Machine(
        String id, AvailabilityZone zone, HostPort callerAddress, HostPort peerAddress, HostPort operatorAddress) {

    /**
     * Gives a VM free ports of the loopback interface.
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
     * Writes the daemon's settings.
     *
     * @param platformAddress address of the platform
     * @param storeRegion region of the platform's store
     * @return the settings file's content
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

package org.mimosahinge.api.world;

/**
 * A daemon that runs on a VM.
 *
 * <p>{@code equals} and {@code hashCode} are written out: the generated ones link method handles at their first use,
 * which delays the start of a node, and stay slow where only the first compiler tier is used.
 *
 * @param id identity that is stable across restarts
 * @param incarnation start time in milliseconds since the epoch; increases with each restart
 * @param zone availability zone of the VM
 * @param address address that accepts frames from other nodes
 */
public record Node(NodeId id, long incarnation, AvailabilityZone zone, HostPort address) {
    @Override
    public boolean equals(Object other) {
        return this == other
                || other instanceof Node node
                        && incarnation == node.incarnation
                        && id.equals(node.id)
                        && zone.equals(node.zone)
                        && address.equals(node.address);
    }

    @Override
    public int hashCode() {
        return 31 * id.hashCode() + Long.hashCode(incarnation);
    }
}

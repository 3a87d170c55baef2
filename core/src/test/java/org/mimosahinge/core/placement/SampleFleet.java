package org.mimosahinge.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntUnaryOperator;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.CallerLimits;
import org.mimosahinge.api.contract.TrafficRules;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.BackendServer;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.LogicalTimestamp;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;

/**
 * Nodes in two zones of each of two regions; each of the nodes has one backend server, most of one service.
 *
 * @param nodes the nodes
 * @param desk endpoints of the large service
 * @param other endpoints of the other service
 */
record SampleFleet(List<Node> nodes, List<Endpoint> desk, List<Endpoint> other) {

    static final String SERVICE = "desk";

    private static final List<AvailabilityZone> ZONES =
            List.of(zone("west-1", "west"), zone("west-2", "west"), zone("east-1", "east"), zone("east-2", "east"));

    private static AvailabilityZone zone(String name, String region) {
        return new AvailabilityZone(name, new Region(region));
    }

    /**
     * Creates a fleet.
     *
     * @param nodeCount number of nodes
     * @param deskCount how many of them stand beside a backend server of the large service
     * @param zoneOf index of the zone of a node, 0 to 3
     * @param slotsOf slots of a node's backend server
     */
    static SampleFleet of(int nodeCount, int deskCount, IntUnaryOperator zoneOf, IntUnaryOperator slotsOf) {
        SampleFleet fleet = new SampleFleet(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        for (int i = 0; i < nodeCount; i++) {
            HostPort address = new HostPort("127.0.0.1", i + 1);
            Node node = new Node(new NodeId("node-" + i), 1, ZONES.get(zoneOf.applyAsInt(i)), address);
            boolean isDesk = i < deskCount;
            BackendServer server =
                    new BackendServer(isDesk ? SERVICE : "other", "v1", address, slotsOf.applyAsInt(i), 130, Set.of());
            fleet.nodes.add(node);
            (isDesk ? fleet.desk : fleet.other)
                    .add(new Endpoint(
                            "node-" + i + '/' + address.port(),
                            server,
                            node,
                            EndpointState.READY,
                            new LogicalTimestamp(1, 1)));
        }
        return fleet;
    }

    PreferenceOrder order(Node node) {
        return PreferenceOrder.of(node, desk, List.of(desk, other));
    }

    Snapshot snapshot() {
        return new Snapshot(
                1,
                new TreeMap<>(),
                Map.of(),
                Map.of(),
                List.of(),
                Map.of(),
                Map.of(SERVICE, desk, "other", other),
                Set.of(),
                true,
                CallerLimits.DEFAULT,
                TrafficRules.NONE);
    }
}

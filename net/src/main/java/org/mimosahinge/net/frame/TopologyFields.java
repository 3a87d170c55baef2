package org.mimosahinge.net.frame;

import java.util.Set;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.BackendServer;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.LogicalTimestamp;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;

/** Encodes and decodes nodes, endpoints and backend servers. */
final class TopologyFields {

    private TopologyFields() {}

    static void packAddress(Packer out, HostPort address) {
        out.text(address.host()).integer(address.port());
    }

    static HostPort unpackAddress(Unpacker in) {
        return new HostPort(in.text(), in.smallInteger());
    }

    static void packNode(Packer out, Node node) {
        out.text(node.id().value()).integer(node.incarnation());
        out.text(node.zone().name()).text(node.zone().region().name());
        packAddress(out, node.address());
    }

    static Node unpackNode(Unpacker in) {
        NodeId id = new NodeId(in.text());
        long incarnation = in.integer();
        AvailabilityZone zone = new AvailabilityZone(in.text(), new Region(in.text()));
        return new Node(id, incarnation, zone, unpackAddress(in));
    }

    static void packEndpoint(Packer out, Endpoint endpoint) {
        BackendServer server = endpoint.server();
        out.text(endpoint.id()).text(server.service()).text(server.version());
        packAddress(out, server.address());
        out.integer(server.slots()).integer(server.maxConnections()).list(server.resources(), Packer::text);
        packNode(out, endpoint.node());
        out.integer(endpoint.state().ordinal());
        out.integer(endpoint.timestamp().incarnation())
                .integer(endpoint.timestamp().sequence());
    }

    static Endpoint unpackEndpoint(Unpacker in) {
        String id = in.text();
        String service = in.text();
        String version = in.text();
        HostPort address = unpackAddress(in);
        int slots = in.smallInteger();
        int connections = in.smallInteger();
        Set<String> resources = Set.copyOf(in.list(Unpacker::text));
        BackendServer server = new BackendServer(service, version, address, slots, connections, resources);
        Node node = unpackNode(in);
        EndpointState state = in.enumConstant(EndpointState.values());
        return new Endpoint(id, server, node, state, new LogicalTimestamp(in.integer(), in.integer()));
    }
}

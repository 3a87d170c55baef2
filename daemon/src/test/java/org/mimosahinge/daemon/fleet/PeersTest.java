package org.mimosahinge.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.BackendServer;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.LogicalTimestamp;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;
import org.mimosahinge.core.membership.ServerReport;

/** Verifies that endpoints of unreachable nodes are dropped, and those of backend servers whose reports have ended. */
class PeersTest {

    private static final AvailabilityZone ZONE = new AvailabilityZone("a", new Region("west"));

    private static Node node(String id, long incarnation, int port) {
        return new Node(new NodeId(id), incarnation, ZONE, new HostPort("10.0.0.1", port));
    }

    private static BackendServer server() {
        return new BackendServer("shop", "v1", new HostPort("10.0.0.1", 2), 16, 130, Set.of());
    }

    private static Endpoint endpoint(Node node) {
        return new Endpoint("e", server(), node, EndpointState.READY, new LogicalTimestamp(1, 0));
    }

    @ParameterizedTest(name = "down for {0} ms: {1} endpoints")
    @CsvSource({"0, 1", "400, 1", "600, 0"})
    void endpointIsKeptUntilReconnectTimeout(long downMs, int expected) {
        Peers peers = new Peers(new NodeId("self"));
        Node node = node("n", 1, 5);
        assertTrue(peers.addOrUpdate(node, 0));
        peers.connectionOpened(node, 1);
        assertTrue(peers.endpointsReceived(node, List.of(endpoint(node)), 1));
        peers.connectionClosed(node.address(), 1, 0);
        assertEquals(
                expected, peers.endpoints(TimeUnit.MILLISECONDS.toNanos(downMs)).size());
    }

    @ParameterizedTest(name = "incarnation {0} at port {1} after 5 at port 7: addresses change {2}")
    @CsvSource({"6, 8, true", "6, 7, false", "4, 8, false", "5, 8, false"})
    void onlyNewerIncarnationChangesAddress(long incarnation, int port, boolean changes) {
        Peers peers = new Peers(new NodeId("self"));
        assertTrue(peers.addOrUpdate(node("n", 5, 7), 0));
        assertEquals(changes, peers.addOrUpdate(node("n", incarnation, port), 0));
        assertFalse(peers.addOrUpdate(node("self", 9, 9), 0));
    }

    @ParameterizedTest(name = "endpoints received on connection {0} after connection 4: accepted {1}")
    @CsvSource({"3, false", "4, true", "5, true"})
    void framesOfOlderConnectionAreIgnored(long connectionId, boolean accepted) {
        Peers peers = new Peers(new NodeId("self"));
        Node node = node("n", 1, 5);
        peers.addOrUpdate(node, 0);
        peers.connectionOpened(node, 4);
        assertEquals(accepted, peers.endpointsReceived(node, List.of(endpoint(node)), connectionId));
    }

    @ParameterizedTest(name = "{0} ms after the last report: {1}")
    @CsvSource({"3900, READY", "4100, GONE"})
    void backendServerWithoutReportsIsGone(long silentMs, EndpointState expected) {
        LocalBackendServer local = new LocalBackendServer(node("self", 1, 5));
        assertTrue(local.recordReport(
                new ServerReport("e", server(), EndpointState.READY, new LogicalTimestamp(9, 1), 0), 0));
        local.expire(TimeUnit.MILLISECONDS.toNanos(silentMs), Duration.ofSeconds(1));
        assertEquals(expected, local.endpoint().orElseThrow().state());
        // The next report revives the endpoint; a repeated one does not.
        assertFalse(local.recordReport(
                new ServerReport("e", server(), EndpointState.READY, new LogicalTimestamp(9, 1), 0), 1));
        assertEquals(
                expected == EndpointState.GONE,
                local.recordReport(
                        new ServerReport("e", server(), EndpointState.READY, new LogicalTimestamp(9, 2), 0), 1));
    }
}

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
import org.junit.jupiter.params.provider.EnumSource;
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

    private static final Duration HEARTBEAT = Duration.ofSeconds(1);

    private static ServerReport report(EndpointState state, long born, long sequence) {
        return new ServerReport("e", server(), state, new LogicalTimestamp(born, sequence), 0);
    }

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

    @ParameterizedTest(name = "{0} reports, {1} ms after the last one: {2}")
    @CsvSource({"2, 3900, READY", "2, 4100, GONE", "1, 1900, READY", "1, 2100, GONE"})
    void backendServerWithoutReportsIsGone(int reports, long silentMs, EndpointState expected) {
        LocalBackendServer local = new LocalBackendServer(node("self", 1, 5), 0);
        for (int i = 1 - reports; i <= 0; i++) {
            local.recordReport(report(EndpointState.READY, 9, i), HEARTBEAT.toNanos() * i, HEARTBEAT);
        }
        assertEquals(reports == 1, local.confirm("e"));
        assertEquals(EndpointState.READY, local.endpoint().orElseThrow().state());
        local.expire(TimeUnit.MILLISECONDS.toNanos(silentMs), HEARTBEAT);
        assertEquals(expected, local.endpoint().orElseThrow().state());
        // The next report revives the endpoint; a repeated one does not.
        assertFalse(local.recordReport(report(EndpointState.READY, 9, 0), 1, HEARTBEAT));
        assertEquals(
                expected == EndpointState.GONE, local.recordReport(report(EndpointState.READY, 9, 1), 1, HEARTBEAT));
    }

    @ParameterizedTest(name = "{0} of start {1} after the departure in start 5: current {2}, outdated {3}")
    @CsvSource({
        "READY, 4, GONE, true",
        "READY, 5, GONE, true",
        "DRAINING, 5, GONE, true",
        "GONE, 5, GONE, false",
        "READY, 6, READY, false",
        "DRAINING, 6, DRAINING, false"
    })
    void departedEndpointDoesNotReturnWithARestartOfItsNode(
            EndpointState state, long born, EndpointState current, boolean outdated) {
        Peers peers = new Peers(new NodeId("self"));
        Node node = node("n", 1, 5);
        peers.addOrUpdate(node, 0);
        peers.connectionOpened(node, 1);
        peers.endpointsReceived(node, List.of(reported(node, EndpointState.READY, 5)), 1);
        peers.endpointsReceived(node, List.of(reported(node, EndpointState.GONE, 5)), 1);
        peers.connectionClosed(node.address(), 1, 0);
        Node restarted = node("n", 2, 5);
        peers.addOrUpdate(restarted, 0);
        peers.connectionOpened(restarted, 2);
        peers.endpointsReceived(restarted, List.of(), 2);
        assertEquals(1, peers.departures(restarted.id()).size());
        List<Endpoint> sent = List.of(reported(restarted, state, born));
        assertEquals(outdated, !peers.departedBefore(restarted.id(), sent).isEmpty());
        peers.endpointsReceived(restarted, sent, 2);
        assertEquals(current, peers.endpoints(0).get(0).state());
    }

    /** A stop of the node or missing reports make its endpoint leave for other nodes, but it may come back. */
    @ParameterizedTest(name = "{0}")
    @EnumSource(
            value = EndpointState.class,
            names = {"DRAINING", "GONE"})
    void endpointReturnsThatOnlyItsNodeTookOut(EndpointState derived) {
        Peers peers = new Peers(new NodeId("self"));
        Node node = node("n", 1, 5);
        peers.addOrUpdate(node, 0);
        peers.connectionOpened(node, 1);
        Endpoint ready = reported(node, EndpointState.READY, 5);
        peers.endpointsReceived(
                node, List.of(new Endpoint(ready.id(), ready.server(), node, derived, ready.timestamp())), 1);
        assertEquals(List.of(), peers.departures(node.id()));
        peers.endpointsReceived(node, List.of(ready), 1);
        assertEquals(EndpointState.READY, peers.endpoints(0).get(0).state());
    }

    @ParameterizedTest(name = "{0} endpoints have departed: {1} are kept")
    @CsvSource({"1, 1", "4, 4", "100, 4"})
    void departuresAreBounded(int count, int kept) {
        Peers peers = new Peers(new NodeId("self"));
        Node node = node("n", 1, 5);
        peers.addOrUpdate(node, 0);
        peers.connectionOpened(node, 1);
        for (int i = 0; i < count; i++) {
            Endpoint gone = reported(node, EndpointState.GONE, i);
            peers.endpointsReceived(
                    node, List.of(new Endpoint("e" + i, gone.server(), node, gone.state(), gone.timestamp())), 1);
        }
        assertEquals(kept, peers.departures(node.id()).size());
    }

    /** The state as the node of the endpoint sends it after a report of its backend server. */
    private static Endpoint reported(Node node, EndpointState state, long born) {
        LocalBackendServer local = new LocalBackendServer(node, 0);
        local.recordReport(report(state, born, 1), 0, HEARTBEAT);
        local.confirm("e");
        return local.endpoint().orElseThrow();
    }

    /** A restored report may precede a departure that was acknowledged and could not be saved. */
    @ParameterizedTest(name = "restored after {0} ms and confirmed, report after {1} ms, now {2} ms after start: {3}")
    @CsvSource({
        "0, -1, 900, READY",
        "0, -1, 1100, GONE",
        "900, -1, 1100, GONE",
        "5000, -1, 5000, GONE",
        "0, 900, 2800, READY",
        "0, 900, 3000, GONE",
        "0, 0, 1900, READY",
        "0, 0, 2100, GONE"
    })
    void restoredReportCountsForAShorterTimeFromTheStart(
            long restoredMs, long reportedMs, long nowMs, EndpointState expected) {
        LocalBackendServer local = new LocalBackendServer(node("self", 1, 5), 0);
        local.expire(TimeUnit.MILLISECONDS.toNanos(restoredMs), HEARTBEAT);
        local.recordRestored(report(EndpointState.READY, 9, 1));
        local.confirm("e");
        if (reportedMs >= 0) {
            local.recordReport(report(EndpointState.READY, 9, 2), TimeUnit.MILLISECONDS.toNanos(reportedMs), HEARTBEAT);
        }
        local.expire(TimeUnit.MILLISECONDS.toNanos(nowMs), HEARTBEAT);
        assertEquals(expected, local.endpoint().orElseThrow().state());
    }

    /** A restarted node asks its backend server before it is used; until then its old endpoint must get no calls. */
    @ParameterizedTest(name = "{0} before the restart: {1} endpoints after it")
    @CsvSource({"READY, 0", "DRAINING, 1", "GONE, 1"})
    void restartedNodeHasOnlyDepartedEndpointsUntilItSendsOthers(EndpointState state, int kept) {
        Peers peers = new Peers(new NodeId("self"));
        Node node = node("n", 1, 5);
        peers.addOrUpdate(node, 0);
        peers.connectionOpened(node, 1);
        peers.endpointsReceived(node, List.of(reported(node, state, 5)), 1);
        Node restarted = node("n", 2, 5);
        peers.addOrUpdate(restarted, 0);
        peers.connectionOpened(restarted, 2);
        assertEquals(kept, peers.endpoints(0).size());
        assertTrue(peers.endpoints(0).stream().allMatch(endpoint -> endpoint.state() == state));
    }

    /** A departure that another node has told must not make later reports of the draining backend server look old. */
    @ParameterizedTest(name = "{0} ms after the departure was told, {1} ms after a report: {2}")
    @CsvSource({"4100, 3000, DRAINING", "4100, 0, GONE"})
    void reportsKeepADepartureAliveThatWasTold(long silentMs, long reportedMs, EndpointState expected) {
        Node self = node("self", 1, 5);
        LocalBackendServer local = new LocalBackendServer(self, 0);
        local.recordDeparture(
                ServerReport.departureOf(reported(self, EndpointState.DRAINING, 9))
                        .orElseThrow(),
                0);
        local.recordReport(report(EndpointState.DRAINING, 9, 2), TimeUnit.MILLISECONDS.toNanos(reportedMs), HEARTBEAT);
        local.expire(TimeUnit.MILLISECONDS.toNanos(silentMs), HEARTBEAT);
        assertEquals(expected, local.endpoint().orElseThrow().state());
    }
}

package org.mimosahinge.daemon.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
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

/** Verifies that tombstones of replaced VMs are removed after their retention and that live endpoints are not. */
class MembershipTest {

    private static final AvailabilityZone ZONE = new AvailabilityZone("a", new Region("west"));
    private static final Node SELF = new Node(new NodeId("n1"), 1, ZONE, new HostPort("127.0.0.1", 1));

    @ParameterizedTest
    @CsvSource({"GONE,9,1", "GONE,11,0", "READY,11,1", "DRAINING,11,1"})
    void onlyExpiredTombstonesAreRemoved(EndpointState state, int minutes, int expected) {
        AtomicLong nanos = new AtomicLong();
        SnapshotReference snapshots = new SnapshotReference();
        Membership membership =
                new Membership(SELF, snapshots, new LocalEndpoints(SELF), new ControlLinks(), nanos::get);
        BackendServer server = new BackendServer("listings", "v1", new HostPort("127.0.0.1", 2), 20, 130, Set.of());
        membership.publish(
                List.of(new Endpoint("n1/e", server, SELF, EndpointState.READY, new LogicalTimestamp(1, 1))));
        membership.publish(List.of(new Endpoint("n1/e", server, SELF, state, new LogicalTimestamp(1, 2))));
        nanos.set(Duration.ofMinutes(minutes).toNanos());
        membership.removeExpiredTombstones();
        int actual = snapshots.get().endpoints().values().stream()
                .mapToInt(List::size)
                .sum();
        assertEquals(expected, actual);
    }
}

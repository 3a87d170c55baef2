package org.mimosahinge.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosahinge.api.platform.StorePosition;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;
import org.mimosahinge.core.fanout.RowSourcePolicy;
import org.mimosahinge.net.frame.Frame;

/** Verifies that a node keeps its regular parents. */
class RowReplicatorTest {

    private static final AvailabilityZone ZONE = new AvailabilityZone("a", new Region("west"));
    private static final long TICK_MS = 200;

    private static Node node(String id) {
        return new Node(new NodeId(id), 1, ZONE, new HostPort("10.0.0.1", 5));
    }

    /** Records when the node starts to read the platform, which does not respond here. */
    private static final class RecordingTransport implements RowTransport {

        private final List<Long> readStartsMs = new ArrayList<>();
        private long nowMs;

        @Override
        public void request(Node parent, Frame.RowSubscription subscription) {
            // The test calls the replicator itself.
        }

        @Override
        public void send(NodeId child, Frame frame) {
            throw new AssertionError("no node has subscribed to this one");
        }

        @Override
        public void followPlatform(boolean enabled, StorePosition afterRevision) {
            if (enabled) {
                readStartsMs.add(nowMs);
            }
        }
    }

    /** A node with a temporary subscription that became a regular parent was removed when that subscription expired. */
    @ParameterizedTest(name = "becomes a parent after {0} ms without progress of the platform's clock")
    @ValueSource(longs = {2_000, 2_600, 3_200})
    void temporaryParentStaysWhenItBecomesRegularParent(long silentMs) {
        Node other = node("other");
        List<NodeId> parents = new ArrayList<>();
        RecordingTransport transport = new RecordingTransport();
        RowReplicator replicator = new RowReplicator(
                node("self"), (self, connected) -> new RowSourcePolicy.Sources(1, false, parents), transport, 0);
        for (; transport.nowMs < silentMs; transport.nowMs += TICK_MS) {
            replicator.tick(List.of(other), 1, TimeUnit.MILLISECONDS.toNanos(transport.nowMs));
        }
        assertEquals(
                1, transport.readStartsMs.size(), "the node reads the platform when no other node reports progress");
        parents.add(other.id());
        for (long endMs = transport.nowMs + 10_000; transport.nowMs < endMs; transport.nowMs += TICK_MS) {
            long nowNanos = TimeUnit.MILLISECONDS.toNanos(transport.nowMs);
            replicator.tick(List.of(other), 2, nowNanos);
            replicator.freshnessReceived(
                    other, new Frame.RowFreshness(StorePosition.NONE, StorePosition.NONE, transport.nowMs), nowNanos);
        }
        assertEquals(
                1, transport.readStartsMs.size(), "the parent was removed; reads started at " + transport.readStartsMs);
    }
}

package org.mimosahinge.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;
import org.mimosahinge.core.fanout.RowSourcePolicy;
import org.mimosahinge.net.frame.Frame;

/** Guards against parents that a node forgets. */
class RowExchangeTest {

    private static final AvailabilityZone ZONE = new AvailabilityZone("a", new Region("west"));
    private static final long TICK_MS = 200;

    private static Node node(String id) {
        return new Node(new NodeId(id), 1, ZONE, new HostPort("10.0.0.1", 5));
    }

    /** Notes when the node begins to read the platform, which does not answer here. */
    private static final class Reads implements RowLinks {

        private final List<Long> begun = new ArrayList<>();
        private long nowMs;

        @Override
        public void ask(Node parent, Frame.RowSubscription request) {
            // Answers are given by the test.
        }

        @Override
        public void tell(NodeId child, Frame frame) {
            throw new AssertionError("No node takes rows from this one");
        }

        @Override
        public void read(boolean wanted, long after) {
            if (wanted) {
                begun.add(nowMs);
            }
        }
    }

    /** A node that was asked for a while, and became a parent meanwhile, was forgotten at the end of that while. */
    @ParameterizedTest(name = "becomes a parent after {0} ms without news of the platform")
    @ValueSource(longs = {2_000, 2_600, 3_200})
    void aNodeThatWasAskedForAWhileStaysAParent(long silentMs) {
        Node other = node("other");
        List<NodeId> parents = new ArrayList<>();
        Reads reads = new Reads();
        RowExchange exchange =
                new RowExchange(node("self"), (self, near) -> new RowSourcePolicy.Sources(1, false, parents), reads, 0);
        for (; reads.nowMs < silentMs; reads.nowMs += TICK_MS) {
            exchange.tick(List.of(other), 1, TimeUnit.MILLISECONDS.toNanos(reads.nowMs));
        }
        assertEquals(1, reads.begun.size(), "the node reads the platform when nobody else tells it of news");
        parents.add(other.id());
        for (long end = reads.nowMs + 10_000; reads.nowMs < end; reads.nowMs += TICK_MS) {
            long nowNanos = TimeUnit.MILLISECONDS.toNanos(reads.nowMs);
            exchange.tick(List.of(other), 2, nowNanos);
            exchange.current(other, new Frame.RowFreshness(0, 0, reads.nowMs), nowNanos);
        }
        assertEquals(1, reads.begun.size(), "the parent was forgotten; reads began at " + reads.begun);
    }
}

package org.mimosahinge.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;

/** Guards against callers at a node that does not know the other endpoints yet, and against one that waits for ever. */
class FleetReadinessTest {

    private static final Node OTHER =
            new Node(new NodeId("b"), 1, new AvailabilityZone("z", new Region("r")), new HostPort("127.0.0.1", 7));

    @ParameterizedTest(
            name = "configured {0}, nodes read {1}, other node known {2} and connected {3}, after {4} ms: {5}")
    @CsvSource({
        "false, true, false, false, 10000, false",
        "true, false, false, false, 0, false",
        "true, false, true, true, 0, false",
        "true, true, false, false, 0, true",
        "true, true, true, false, 0, false",
        "true, true, true, true, 0, true",
        "true, false, false, false, 700, true",
        "true, true, true, false, 700, true"
    })
    void readyWithKnownNodesOrAfterTheTimeout(
            boolean configured, boolean nodesRead, boolean known, boolean connected, long afterMs, boolean expected) {
        FleetReadiness readiness = new FleetReadiness();
        Peers peers = new Peers(new NodeId("a"));
        if (configured) {
            readiness.configurationApplied(0);
        }
        if (nodesRead) {
            readiness.nodesRead();
        }
        if (known) {
            peers.addOrUpdate(OTHER, 0);
        }
        if (connected) {
            peers.connectionOpened(OTHER, 1);
        }
        readiness.update(peers, TimeUnit.MILLISECONDS.toNanos(afterMs));
        assertEquals(expected, readiness.ready());
        readiness.withdraw();
        readiness.update(peers, TimeUnit.MILLISECONDS.toNanos(afterMs));
        assertEquals(false, readiness.ready());
    }

    /** A node without a proof of its keys must send callers to others, and take them again later. */
    @ParameterizedTest(name = "proven {0}, then {1}: ready {1}")
    @CsvSource({"true, false", "false, true", "false, false", "true, true"})
    void notReadyWithoutAProofOfTheKeys(boolean before, boolean after) {
        FleetReadiness readiness = new FleetReadiness();
        Peers peers = new Peers(new NodeId("a"));
        readiness.configurationApplied(0);
        readiness.nodesRead();
        for (boolean proven : new boolean[] {before, after}) {
            readiness.setKeysProven(proven);
            readiness.update(peers, 0);
            assertEquals(proven, readiness.ready());
        }
    }
}

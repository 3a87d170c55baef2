package org.mimosahinge.daemon.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.api.platform.ReadResult;
import org.mimosahinge.api.platform.Row;
import org.mimosahinge.api.world.AvailabilityZone;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.api.world.NodeId;
import org.mimosahinge.api.world.Region;

/** Verifies that an invalid row in the roster does not keep a node from finding the other nodes. */
class RowCodecTest {

    private static final Node NODE =
            new Node(new NodeId("n1"), 1, new AvailabilityZone("a", new Region("west")), new HostPort("127.0.0.1", 9));

    static List<String> malformedRows() {
        String valid = RowCodec.encode(NODE);
        return List.of(
                "",
                "x",
                "[]",
                "{\"a\":".repeat(5_000),
                valid.replace("127.0.0.1:9", "127.0.0.1:65536"),
                valid.replace("127.0.0.1:9", "127.0.0.1:" + "9".repeat(30)),
                valid.replace("127.0.0.1:9", "127.0.0.1"));
    }

    @ParameterizedTest(name = "row {index}")
    @MethodSource("malformedRows")
    void malformedRowHidesNoOtherNode(String malformed) {
        String prefix = RowCodec.nodeKeyPrefix(NODE.zone());
        ReadResult read = new ReadResult(
                3, List.of(new Row(prefix + "n0", 2, malformed), new Row(prefix + "n1", 3, RowCodec.encode(NODE))));
        assertEquals(List.of(NODE), RowCodec.roster(read, NODE.zone()));
        assertEquals(List.of(NODE), RowCodec.allNodes(read));
    }
}

package org.mimosahinge.core.fanout;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against capacity figures that omit a message or count it on the wrong connections. */
class ControlCostTest {
    private static final ControlLoad LOAD = new ControlLoad(8, 4, 4, 0.25, 0.5, 10, 1, 1, 1, 1);

    @ParameterizedTest(name = "{0}: {1} messages/s and {2} bytes/s")
    @CsvSource({
        // One connection: 2 heartbeats of 10, 0.25 updates of 200, 0.5 endpoint states of 60, 1 report of 20 + 10 * 5.
        "leaf, 3.75, 170",
        "inner node, 33.75, 1530",
        "relay, 34.75, 1930",
        "store gateway, 28.25, 1890",
        "far gateway, 19.75, 1250",
        "region link, 3.75, 170",
        "flat relay, 1126, 51400"
    })
    void eachRoleCountsItsLinksAndExchanges(String role, double messages, double bytes) {
        assertEquals(new ControlCost(messages, bytes), cost(role, new ControlSizes(10, 200, 60, 20, 5, 300, 400)));
    }

    @ParameterizedTest(name = "{0}: {1} bytes/s of updates")
    @CsvSource({"leaf, 50", "inner node, 450", "flat relay, 15000"})
    void updateTrafficMatchesTheDesignPage(String role, double bytes) {
        assertEquals(bytes, cost(role, new ControlSizes(0, 200, 0, 0, 0, 0, 0)).bytesPerSecond());
    }

    private static ControlCost cost(String role, ControlSizes sizes) {
        return switch (role) {
            case "leaf" -> ControlCost.node(LOAD, sizes, 0);
            case "inner node" -> ControlCost.node(LOAD, sizes, 8);
            case "relay" -> ControlCost.relay(LOAD, sizes);
            case "store gateway" -> ControlCost.gateway(LOAD, sizes, true);
            case "far gateway" -> ControlCost.gateway(LOAD, sizes, false);
            case "region link" -> ControlCost.regionLink(LOAD, sizes);
            case "flat relay" -> ControlCost.flatRelay(LOAD, sizes, 300);
            default -> throw new IllegalArgumentException(role);
        };
    }
}

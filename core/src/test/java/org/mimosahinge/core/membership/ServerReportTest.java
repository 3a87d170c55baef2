package org.mimosahinge.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.world.BackendServer;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.HostPort;
import org.mimosahinge.api.world.LogicalTimestamp;

/** Guards against late reports that revive a stopped backend server or revert its draining. */
class ServerReportTest {

    private static ServerReport report(String id, long incarnation, long sequence, EndpointState state) {
        BackendServer server = new BackendServer("shop", "v1", new HostPort("127.0.0.1", 2), 16, 130, Set.of());
        return new ServerReport(id, server, state, new LogicalTimestamp(incarnation, sequence), 0);
    }

    @ParameterizedTest(name = "{0} of start {1}, number {2}, {3} replaces a of start 5, number 7, {4}: {5}")
    @CsvSource({
        "a, 5, 8, READY, READY, true",
        "a, 5, 7, READY, READY, false",
        "a, 5, 6, READY, READY, false",
        "a, 5, 8, DRAINING, READY, true",
        "a, 5, 3, DRAINING, READY, true",
        "a, 5, 9, READY, DRAINING, false",
        "a, 5, 9, READY, GONE, false",
        "a, 5, 9, DRAINING, GONE, false",
        "a, 6, 1, READY, GONE, true",
        "a, 4, 99, READY, GONE, false",
        "b, 6, 1, READY, READY, true",
        "b, 4, 99, READY, READY, false",
        "b, 5, 99, READY, READY, false"
    })
    void laterStartAndLaterStateReplace(
            String id,
            long incarnation,
            long sequence,
            EndpointState state,
            EndpointState currentState,
            boolean expected) {
        assertEquals(expected, report(id, incarnation, sequence, state).replaces(report("a", 5, 7, currentState)));
    }
}

package org.mimosahinge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.net.http.HttpMessageRequest;
import org.mimosahinge.net.http.HttpMessageServer;
import org.mimosahinge.standin.platform.Fault;

/** Guards against new work for a backend server that leaves, also while the platform is away. */
class LeavingBackendTest {

    private static final int CALLS = 40;

    /** How a backend server leaves. */
    @FunctionalInterface
    interface Departure {
        void leave(LocalFleet fleet, Daemon beside, Daemon other, HttpMessageServer server);
    }

    static Stream<Arguments> departures() {
        Departure operator = (fleet, beside, other, server) -> LocalFleet.expect(
                202,
                fleet.send(
                        other.operators(),
                        HttpMessageRequest.json("POST", "/v1/endpoints/n1%2F" + server.address() + "/drain", "{}")));
        Departure announced = (fleet, beside, other, server) -> {
            fleet.stopAnnouncing(server);
            fleet.announce(beside, server, "listings", "v1", "draining");
        };
        Departure silent = (fleet, beside, other, server) -> fleet.stopAnnouncing(server);
        return Stream.of(
                Arguments.of(Named.of("drained by an operator at another node", operator), false),
                Arguments.of(Named.of("drained by an operator, platform away", operator), true),
                Arguments.of(Named.of("announces that it drains, platform away", announced), true),
                Arguments.of(Named.of("stops to announce itself, platform away", silent), true));
    }

    @ParameterizedTest
    @MethodSource("departures")
    void getsNoNewWorkFromAnyNode(Departure departure, boolean platformAway) {
        try (LocalFleet fleet = new LocalFleet()) {
            Daemon beside = fleet.daemon("n1", "zone-a", "ch-west");
            Daemon other = fleet.daemon("n2", "zone-b", "ch-west");
            HttpMessageServer leaving = fleet.backend(beside, "listings", "v1");
            HttpMessageServer staying = fleet.backend(beside, "listings", "v1");
            LocalFleet.await(() -> fleet.daemons().stream()
                    .allMatch(daemon -> fleet.status(daemon).nodes() == 2));
            LocalFleet.expect(200, fleet.submit(beside, "listings", 0, WholePathTest.section("v1")));
            fleet.awaitInForce(1, 2);
            LocalFleet.await(() -> readyEndpoints(fleet, other) == 2);
            if (platformAway) {
                fleet.platform().fault(Fault.outage(0));
            }
            departure.leave(fleet, beside, other, leaving);
            LocalFleet.await(() -> fleet.daemons().stream().allMatch(daemon -> readyEndpoints(fleet, daemon) == 1));
            int before = fleet.callsServed(leaving);
            for (int i = 0; i < CALLS; i++) {
                LocalFleet.expect(200, fleet.call(i % 2 == 0 ? beside : other, "/listings/" + i));
            }
            assertEquals(before, fleet.callsServed(leaving));
            assertTrue(fleet.callsServed(staying) >= CALLS);
        }
    }

    private static int readyEndpoints(LocalFleet fleet, Daemon daemon) {
        return fleet.operatorBody(daemon, "/v1/endpoints").split("\"ready\"", -1).length - 1;
    }
}

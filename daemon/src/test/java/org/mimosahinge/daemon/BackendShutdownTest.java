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

/** Verifies that a backend server that stops gets no new calls, also while the platform is unavailable. */
class BackendShutdownTest {

    private static final int CALLS = 40;

    /** A way in which a backend server stops. */
    @FunctionalInterface
    interface Departure {
        void start(LocalFleet fleet, Daemon local, Daemon other, HttpMessageServer server);
    }

    static Stream<Arguments> departures() {
        Departure drainedByOperator = (fleet, local, other, server) -> LocalFleet.expect(
                202,
                fleet.send(
                        other.operatorAddress(),
                        HttpMessageRequest.json("POST", "/v1/endpoints/n1%2F" + server.address() + "/drain", "{}")));
        Departure announcesDraining = (fleet, local, other, server) -> {
            fleet.stopAnnouncing(server);
            fleet.announce(local, server, "listings", "v1", "draining");
        };
        Departure stopsAnnouncing = (fleet, local, other, server) -> fleet.stopAnnouncing(server);
        return Stream.of(
                Arguments.of(Named.of("drained by an operator at another node", drainedByOperator), false),
                Arguments.of(Named.of("drained by an operator, platform down", drainedByOperator), true),
                Arguments.of(Named.of("announces that it drains, platform down", announcesDraining), true),
                Arguments.of(Named.of("stops announcing itself, platform down", stopsAnnouncing), true));
    }

    @ParameterizedTest
    @MethodSource("departures")
    void stoppingBackendGetsNoNewCallsFromAnyNode(Departure departure, boolean platformDown) {
        try (LocalFleet fleet = new LocalFleet()) {
            Daemon local = fleet.startDaemon("n1", "zone-a", "ch-west");
            Daemon other = fleet.startDaemon("n2", "zone-b", "ch-west");
            HttpMessageServer stopping = fleet.startBackend(local, "listings", "v1");
            HttpMessageServer running = fleet.startBackend(local, "listings", "v1");
            LocalFleet.await(() -> fleet.daemons().stream()
                    .allMatch(daemon -> fleet.status(daemon).nodes() == 2));
            LocalFleet.expect(200, fleet.submit(local, "listings", 0, EndToEndTest.section("v1")));
            fleet.awaitInForce(1, 2);
            LocalFleet.await(() -> readyEndpoints(fleet, other) == 2);
            if (platformDown) {
                fleet.platform().injectFault(Fault.outage(0));
            }
            departure.start(fleet, local, other, stopping);
            LocalFleet.await(() -> fleet.daemons().stream().allMatch(daemon -> readyEndpoints(fleet, daemon) == 1));
            int servedBefore = fleet.callsServed(stopping);
            for (int i = 0; i < CALLS; i++) {
                LocalFleet.expect(200, fleet.call(i % 2 == 0 ? local : other, "/listings/" + i));
            }
            assertEquals(servedBefore, fleet.callsServed(stopping));
            assertTrue(fleet.callsServed(running) >= CALLS);
        }
    }

    private static int readyEndpoints(LocalFleet fleet, Daemon daemon) {
        return fleet.operatorBody(daemon, "/v1/endpoints").split("\"ready\"", -1).length - 1;
    }
}

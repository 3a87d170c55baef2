package org.mimosahinge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosahinge.net.http.HttpMessageResponse;
import org.mimosahinge.standin.platform.Fault;

/** Verifies that accepted configuration survives kills, outages, lost responses and concurrent operators. */
class FailureTest {

    private static final int NODES = 4;
    private static final String TEAM = "listings";

    static Stream<Named<Consumer<LocalFleet>>> failures() {
        return Stream.of(
                Named.of("relay and gateway killed", fleet -> fleet.kill(0)),
                Named.of("node without a role killed", fleet -> fleet.kill(NODES - 1)),
                Named.of("platform down for 2 s", fleet -> fleet.platform().injectFault(Fault.outage(2000))),
                Named.of("platform refuses connections for 2 s", fleet -> fleet.platform()
                        .injectFault(Fault.refused(2000))),
                Named.of("responses to the next writes lost", fleet -> fleet.platform()
                        .injectFault(Fault.loseResponse(3))),
                Named.of("platform slow for 2 s", fleet -> fleet.platform().injectFault(Fault.slow(2000, 300))));
    }

    @ParameterizedTest
    @MethodSource("failures")
    void acceptedVersionComesIntoForceAndNeverReverts(Consumer<LocalFleet> failure) {
        try (LocalFleet fleet = startFleet();
                VersionMonitor monitor = new VersionMonitor(fleet)) {
            LocalFleet.expect(200, fleet.submit(fleet.daemons().get(1), TEAM, 0, EndToEndTest.section("v1")));
            fleet.awaitInForce(1, NODES);
            failure.accept(fleet);
            LocalFleet.await(() -> fleet.submit(fleet.daemons().get(1), TEAM, 1, EndToEndTest.section("v2"))
                            .status()
                    != 503);
            fleet.awaitInForce(2, fleet.daemons().size());
            assertEquals(
                    List.of(2L),
                    fleet.daemons().stream()
                            .map(daemon -> fleet.status(daemon).version())
                            .distinct()
                            .toList());
            assertEquals(0, monitor.reversals());
        }
    }

    /** Without reading back, a retried submission after a lost response is accepted twice or rejected as a conflict. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void submissionWhoseResponseIsLostIsAcceptedOnce(int lost) {
        try (LocalFleet fleet = startFleet()) {
            Daemon first = fleet.daemons().get(0);
            LocalFleet.expect(200, fleet.submit(first, TEAM, 0, EndToEndTest.section("v1")));
            fleet.platform().injectFault(Fault.loseResponse(lost));
            HttpMessageResponse response = fleet.submit(first, TEAM, 1, EndToEndTest.section("v2"));
            // If the lost response was that of the object write, nothing was submitted.
            long expected = response.status() == 200 ? 2 : 1;
            LocalFleet.await(() -> fleet.status(first).version() >= expected);
            assertTrue(fleet.status(first).version() <= 2);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 6})
    void oneOfSeveralRacingOperatorsWins(int operators) {
        try (LocalFleet fleet = startFleet()) {
            List<Integer> statuses = IntStream.range(0, operators)
                    .mapToObj(i -> CompletableFuture.supplyAsync(() -> fleet.submit(
                                    fleet.daemons().get(i % NODES),
                                    TEAM,
                                    0,
                                    EndToEndTest.section(i % 2 == 0 ? "v1" : "v2"))
                            .status()))
                    .toList()
                    .stream()
                    .map(CompletableFuture::join)
                    .sorted()
                    .toList();
            assertEquals(1, statuses.stream().filter(status -> status == 200).count());
            assertEquals(
                    operators - 1,
                    statuses.stream().filter(status -> status == 409).count());
            fleet.awaitInForce(1, NODES);
        }
    }

    private static LocalFleet startFleet() {
        LocalFleet fleet = new LocalFleet();
        for (int i = 0; i < NODES; i++) {
            fleet.startDaemon("n" + i, i % 2 == 0 ? "zone-a" : "zone-b", "ch-west");
        }
        LocalFleet.await(() ->
                fleet.daemons().stream().allMatch(daemon -> fleet.status(daemon).nodes() == NODES));
        return fleet;
    }
}

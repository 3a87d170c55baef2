package org.mimosahinge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Submits a section, waits until it is in force on every node and calls the service. */
class EndToEndTest {

    static String section(String current) {
        return """
                {
                  "team": "listings", "resources": [],
                  "services": [{"name": "listings", "versions": ["v1", "v2"], "current": "%s"}],
                  "routes": [{"name": "browse", "pathPrefix": "/listings", "service": "listings",
                    "callClass": "interactive", "timeout": "2s", "idempotent": true, "atMostOnce": false,
                    "resources": []}]
                }
                """
                .formatted(current);
    }

    @ParameterizedTest
    @CsvSource({"zone-a,ch-west,zone-a,ch-west", "zone-a,ch-west,zone-b,ch-west", "zone-a,ch-west,zone-c,ch-east"})
    void callIsServedByCurrentVersionOfSection(String zone1, String region1, String zone2, String region2) {
        try (LocalFleet fleet = new LocalFleet()) {
            Daemon first = fleet.startDaemon("n1", zone1, region1);
            Daemon second = fleet.startDaemon("n2", zone2, region2);
            fleet.startBackend(first, "listings", "v1");
            fleet.startBackend(first, "listings", "v2");
            LocalFleet.await(() -> fleet.daemons().stream()
                    .allMatch(daemon -> fleet.status(daemon).nodes() == 2));
            for (String current : List.of("v1", "v2")) {
                long base = current.equals("v1") ? 0 : 1;
                LocalFleet.expect(200, fleet.submit(second, "listings", base, section(current)));
                fleet.awaitInForce(base + 1, 2);
                LocalFleet.await(
                        () -> !fleet.operatorBody(second, "/v1/endpoints").contains("\"endpoints\":[]"));
                String body = LocalFleet.expect(200, fleet.call(second, "/listings/7"))
                        .text();
                assertEquals("\"listings " + current + " /listings/7\"", body);
            }
            assertTrue(fleet.operatorBody(second, "/v1/nodes").contains("\"n1\""));
        }
    }
}

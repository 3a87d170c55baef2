package org.mimosahinge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.mimosahinge.net.http.HttpMessageRequest;
import org.mimosahinge.net.http.HttpMessageResponse;

/** Guards against organisations of the document that have no effect on running nodes. */
class OrganisationsTest {

    private static final String ORGANISATIONS =
            """
            {"team": "partners", "organisations": [
              {"name": "press", "keys": ["press-key"]},
              {"name": "radio", "keys": ["%s"], "rate": 0.01, "burst": 2}]}
            """;

    /** Also guards against an invalid submission that ends what is in force. */
    @Test
    void keysAndQuotasOfTheDocumentDecideCalls() {
        try (LocalFleet fleet = new LocalFleet()) {
            Daemon daemon = fleet.startDaemon("n1", "zone-a", "ch-west");
            fleet.startBackend(daemon, "listings", "v1");
            LocalFleet.expect(200, fleet.submit(daemon, "listings", 0, EndToEndTest.section("v1")));
            LocalFleet.expect(200, fleet.submit(daemon, "partners", 0, ORGANISATIONS.formatted("radio-key")));
            fleet.awaitInForce(2, 1);
            LocalFleet.await(() -> call(fleet, daemon, "press-key").status() == 200);
            LocalFleet.expect(400, fleet.submit(daemon, "partners", 1, ORGANISATIONS.formatted("press-key")));
            LocalFleet.expect(401, fleet.call(daemon, "/listings/7"));
            LocalFleet.expect(401, call(fleet, daemon, "other-key"));
            HttpMessageResponse served = LocalFleet.expect(200, call(fleet, daemon, "press-key"));
            assertEquals("press", served.headers().get("organisation"));
            LocalFleet.expect(200, call(fleet, daemon, "radio-key"));
            LocalFleet.expect(200, call(fleet, daemon, "radio-key"));
            LocalFleet.expect(429, call(fleet, daemon, "radio-key"));
        }
    }

    private static HttpMessageResponse call(LocalFleet fleet, Daemon daemon, String key) {
        return fleet.send(
                daemon.callerAddress(),
                new HttpMessageRequest("GET", "/listings/7", Map.of("authorization", "Bearer " + key), new byte[0]));
    }
}

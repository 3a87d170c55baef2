package org.mimosahinge.api.document;

import java.nio.charset.StandardCharsets;

/** Valid documents and settings as test inputs. */
final class TestDocuments {
    /** The example section of the design page. Expected line numbers of the tests refer to this layout. */
    static final String SECTION =
            """
            {
              // Listings are browsed all day.
              "team": "listings",
              "resources": ["listing-index"],
              "services": [{
                "name": "listings", "versions": ["v1", "v2"], "current": "v1",
                "move": {"to": "v2", "start": "2026-12-04T10:00:00Z", "deadline": "2026-12-04T12:00:00Z"},
                "limits": {"queue": 64, "retryPercent": 10}
              }],
              "routes": [{
                "name": "browse", "pathPrefix": "/listings", "service": "listings", "callClass": "interactive",
                "timeout": "2s", "idempotent": true, "atMostOnce": false, "resources": ["listing-index"]
              }]
            }
            """;

    /** Settings with all required fields and no optional ones. */
    static final String SETTINGS =
            """
            {
              "nodeId": "node-1", "zone": "ch-west-a", "region": "ch-west",
              "callerAddress": "10.0.0.7:8080", /* HTTP */ "peerAddress": "10.0.0.7:7070",
              "operatorAddress": "10.0.0.7:9090",
              "platformAddress": "10.0.0.1:8000",
              "storeRegion": "ch-west"
            }
            """;

    private TestDocuments() {}

    static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}

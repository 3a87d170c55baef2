package org.mimosahinge.bench;

/** The section that the demo and the measurements submit: one service with an idempotent and a non-idempotent route. */
public final class ListingsSection {

    /** Name of the service. */
    public static final String SERVICE = "listings";

    private ListingsSection() {}

    /**
     * Formats the section as a JSON document.
     *
     * @param versions the service's versions as JSON strings, separated by commas
     * @param current the current version
     * @return the document
     */
    public static String json(String versions, String current) {
        return """
                // The section of the team that owns the service.
                {
                  "team": "listings",
                  "services": [{"name": "listings", "versions": [%s], "current": "%s"}],
                  "routes": [{
                    "name": "browse", "pathPrefix": "/listings", "service": "listings",
                    "callClass": "interactive", "timeout": "15s", "idempotent": true
                  }, {
                    "name": "print", "pathPrefix": "/listings/print", "service": "listings",
                    "callClass": "interactive", "timeout": "15s", "idempotent": false
                  }]
                }
                """
                .formatted(versions, current);
    }
}

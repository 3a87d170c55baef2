package org.mimosahinge.core.poison;

/**
 * Identifies equal requests.
 *
 * @param route the route
 * @param method HTTP method
 * @param uri path and query
 * @param bodyHash SHA-256 of the body in hexadecimal, empty without a body
 */
public record Fingerprint(String route, String method, String uri, String bodyHash) {

    /**
     * Returns whether another request equals this one in everything but the body.
     *
     * @param otherRoute the other request's route
     * @param otherMethod the other request's method
     * @param otherUri the other request's path and query
     * @return true when route, method and URI are equal
     */
    public boolean equalsExceptBody(String otherRoute, String otherMethod, String otherUri) {
        return uri.equals(otherUri) && method.equals(otherMethod) && route.equals(otherRoute);
    }
}

package org.mimosahinge.core.poison;

/**
 * Identifies requests that are alike.
 *
 * @param route the route
 * @param method HTTP method
 * @param uri path and query
 * @param bodyHash SHA-256 of the body in hexadecimal, empty without a body
 */
public record Fingerprint(String route, String method, String uri, String bodyHash) {

    /**
     * Tells whether another request may turn out to be the same once its body is known.
     *
     * @param otherRoute the other request's route
     * @param otherMethod the other request's method
     * @param otherUri the other request's path and query
     * @return true when everything but the body is equal
     */
    public boolean equalsExceptBody(String otherRoute, String otherMethod, String otherUri) {
        return uri.equals(otherUri) && method.equals(otherMethod) && route.equals(otherRoute);
    }
}

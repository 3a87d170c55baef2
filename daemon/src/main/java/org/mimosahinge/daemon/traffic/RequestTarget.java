package org.mimosahinge.daemon.traffic;

/**
 * Target of a request; a server must accept the absolute form besides the origin form (RFC 9112, section 3.2.2).
 *
 * @param uri path and query string
 * @param host the target's host, which takes precedence over the Host header
 */
record RequestTarget(String uri, String host) {

    private static final String SCHEME = "http://";

    static RequestTarget of(String target, String hostHeader) {
        if (!target.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return new RequestTarget(target, hostHeader);
        }
        int end = SCHEME.length();
        while (end < target.length() && target.charAt(end) != '/' && target.charAt(end) != '?') {
            end++;
        }
        String pathAndQuery = target.substring(end);
        return new RequestTarget(
                pathAndQuery.startsWith("/") ? pathAndQuery : '/' + pathAndQuery,
                target.substring(SCHEME.length(), end));
    }
}

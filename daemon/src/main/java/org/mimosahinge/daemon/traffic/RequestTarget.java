package org.mimosahinge.daemon.traffic;

/**
 * Where a request goes; a server must accept the absolute form beside the usual one (RFC 9112, section 3.2.2).
 *
 * @param uri path and query
 * @param host the target's host, which takes precedence over the header
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

package org.mimosahinge.daemon.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Converts between HTTP headers and maps by lower-case name, without hop-by-hop headers. */
final class HeaderMaps {

    static final String OUTCOME_HEADER = "x-mimosahinge-outcome";
    static final String NOT_RUN = "not-run";
    static final String DEADLINE_HEADER = "x-deadline-ms";
    static final String CREDENTIAL_HEADER = "authorization";
    static final String ORGANISATION_HEADER = "x-mimosahinge-organisation";

    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect");

    /** Separates values of Set-Cookie, which must not be joined by commas; cannot occur in a header's value. */
    private static final String VALUE_SEPARATOR = "\n";

    private static final String SET_COOKIE = "set-cookie";

    private HeaderMaps() {}

    static Map<String, String> from(HttpHeaders headers) {
        Map<String, String> map = new HashMap<>();
        var entries = headers.iteratorAsString();
        while (entries.hasNext()) {
            var entry = entries.next();
            String name = entry.getKey().toLowerCase(Locale.ROOT);
            map.merge(name, entry.getValue(), (a, b) -> a + (name.equals(SET_COOKIE) ? VALUE_SEPARATOR : ", ") + b);
        }
        String connectionOptions = map.get("connection");
        if (connectionOptions != null) {
            for (String name : connectionOptions.split(",", -1)) {
                map.remove(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        map.keySet().removeAll(HOP_BY_HOP);
        return map;
    }

    static void copy(Map<String, String> map, HttpHeaders headers) {
        map.forEach((name, value) -> {
            if (name.equals(SET_COOKIE)) {
                for (String cookie : value.split(VALUE_SEPARATOR, -1)) {
                    headers.add(name, cookie);
                }
            } else {
                headers.set(name, value);
            }
        });
    }

    /** Returns the caller's deadline, limited by the timeout of the route. */
    static long deadlineMs(Map<String, String> headers, String name, long routeMs) {
        long callerMs = number(headers, name);
        return callerMs > 0 ? Math.min(callerMs, routeMs) : routeMs;
    }

    static long contentLength(Map<String, String> headers) {
        return number(headers, "content-length");
    }

    /** Returns the value of a numeric header, or -1 if it is missing or no number. */
    static long number(Map<String, String> headers, String name) {
        try {
            return Long.parseLong(headers.getOrDefault(name, "-1"));
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}

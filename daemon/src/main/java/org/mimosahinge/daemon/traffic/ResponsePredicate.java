package org.mimosahinge.daemon.traffic;

import java.util.Map;

/** Tells something about a backend server's response from its status and headers. */
@FunctionalInterface
public interface ResponsePredicate {

    /**
     * Looks at the start of a response.
     *
     * @param status HTTP status
     * @param headers headers by lower-case name
     * @return whether the rule applies
     */
    boolean test(int status, Map<String, String> headers);
}

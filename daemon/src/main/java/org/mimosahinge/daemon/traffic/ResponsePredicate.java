package org.mimosahinge.daemon.traffic;

import java.util.Map;

/** A condition on the status and headers of a backend server's response. */
@FunctionalInterface
public interface ResponsePredicate {

    /**
     * Evaluates the condition.
     *
     * @param status HTTP status
     * @param headers headers by lower-case name
     * @return whether the response meets the condition
     */
    boolean test(int status, Map<String, String> headers);
}

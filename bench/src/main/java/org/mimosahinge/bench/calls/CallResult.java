package org.mimosahinge.bench.calls;

/**
 * The result of one call as its caller sees it.
 *
 * @param kind the kind of call
 * @param key the call's unique key
 * @param succeeded whether the complete response to this call arrived with status 200
 * @param notRun whether the response says that no backend server ran the call
 * @param outcomeUnknown whether the response says that the outcome is unknown
 * @param incomplete whether the call ended without a complete response
 * @param mismatched whether the response to another call arrived
 * @param latencyMicros time from the start of the call to its end, in microseconds
 */
record CallResult(
        CallKind kind,
        String key,
        boolean succeeded,
        boolean notRun,
        boolean outcomeUnknown,
        boolean incomplete,
        boolean mismatched,
        long latencyMicros) {}

package org.mimosahinge.bench.calls;

/**
 * What a caller saw of one call.
 *
 * @param kind what was called
 * @param key the call's unique key
 * @param succeeded whether the whole own response arrived with a status below 500
 * @param notRun whether the call was refused as not run
 * @param outcomeUnknown whether the outcome is unknown
 * @param incomplete whether the connection ended without a whole response
 * @param mismatched whether a response to another call arrived
 * @param latencyMicros time until the end
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

package org.mimosahinge.bench.calls;

/**
 * What a caller saw of one call.
 *
 * @param kind what was called
 * @param key the call's unique key
 * @param answered whether the whole own response arrived with a status below 500
 * @param notRun whether the call was refused as not run
 * @param unknown whether the outcome is unknown
 * @param cut whether the connection ended without a whole response
 * @param crossed whether a response to another call arrived
 * @param micros time until the end
 */
record CallResult(
        CallKind kind,
        String key,
        boolean answered,
        boolean notRun,
        boolean unknown,
        boolean cut,
        boolean crossed,
        long micros) {}

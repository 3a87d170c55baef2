package org.mimosahinge.core.pipelining;

/**
 * Decides whether a request is started while others before it on the same connection are unanswered.
 *
 * <p>A response that closes the connection ends the requests behind it, and their callers send them again. A request that
 * may run only once is therefore started only as the first one, and its effects are visible to all requests behind it.
 *
 * @param maxRunning maximum number of requests of one connection that run at the same time
 */
public record PipeliningPolicy(int maxRunning) {

    /**
     * Returns whether a request may be started.
     *
     * @param running number of unanswered requests on the connection, at least one
     * @param before the last one of these
     * @param next the request behind it
     * @return whether it may be started now; otherwise it waits until those before it are answered
     */
    public boolean mayStart(int running, PipelinedRequest before, PipelinedRequest next) {
        return running < maxRunning
                && before.repeatable()
                && !before.closes()
                && next.repeatable()
                && !next.awaitsContinue();
    }
}

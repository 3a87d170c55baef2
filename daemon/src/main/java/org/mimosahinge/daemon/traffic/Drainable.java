package org.mimosahinge.daemon.traffic;

/** A connection that is drained before a planned shutdown; used on its event loop only. */
interface Drainable {

    /** Completes the calls in flight, asks the other end to send no more, then closes the connection. */
    void drain();

    /** Ends the calls in flight with a failure, because the process ends. */
    void endCalls();

    /**
     * Returns whether a planned shutdown has to wait for the connection.
     *
     * @return whether calls are in flight on the connection
     */
    boolean busy();
}

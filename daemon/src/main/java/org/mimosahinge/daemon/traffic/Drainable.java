package org.mimosahinge.daemon.traffic;

/** A connection that a planned stop closes once its calls are finished; used on its event loop only. */
interface Drainable {

    /** Finishes the calls in flight, asks the other end for no more, then closes. */
    void drain();

    /**
     * Tells whether a planned stop has to wait for the connection.
     *
     * @return whether calls are in flight on it
     */
    boolean busy();
}

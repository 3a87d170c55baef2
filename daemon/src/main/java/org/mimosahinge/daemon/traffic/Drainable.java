package org.mimosahinge.daemon.traffic;

/** A connection that a planned stop closes once its calls are finished; used on its event loop only. */
interface Drainable {

    /** Finishes the calls in flight, asks the other end for no more, then closes. */
    void drain();
}

package org.mimosahinge.daemon.traffic;

import org.mimosahinge.net.frame.Frame;

/** Where calls are sent: a node or a backend server beside this node. */
@FunctionalInterface
interface CallTarget {

    /**
     * Starts a call.
     *
     * @param start the call; its id is unique on the event loop
     * @param observer receives the response; may be called before this method returns
     * @return the started call
     */
    Exchange start(Frame.CallStart start, ResponseObserver observer);
}

package org.mimosahinge.daemon.traffic;

import org.mimosahinge.net.frame.Frame;

/** Receives what comes back for a started call; called on the event loop of the call only. */
interface ResponseObserver {

    /**
     * The response starts.
     *
     * @param start status and headers
     */
    void started(Frame.ResponseStart start);

    /**
     * Part of the response's body.
     *
     * @param bytes the content
     * @param last whether the response is complete
     */
    void body(byte[] bytes, boolean last);

    /**
     * More of the request's body may be sent.
     *
     * @param bytes additional bytes
     */
    void credit(int bytes);

    /**
     * The call ended without a whole response.
     *
     * @param failure what failed
     */
    void failed(Frame.CallFailure failure);

    /** Sends on what was buffered. */
    void flush();
}

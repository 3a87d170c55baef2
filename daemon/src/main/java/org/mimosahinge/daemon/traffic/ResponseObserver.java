package org.mimosahinge.daemon.traffic;

import org.mimosahinge.net.frame.Frame;

/** Receives the response of a started call; called on the event loop of the call only. */
interface ResponseObserver {

    /**
     * Called when the response starts.
     *
     * @param start status and headers
     */
    void started(Frame.ResponseStart start);

    /**
     * Called for each part of the response's body.
     *
     * @param bytes the content
     * @param last whether the response is complete
     */
    void body(byte[] bytes, boolean last);

    /**
     * Called when the receiver grants credit for the request's body.
     *
     * @param bytes additional bytes that may be sent
     */
    void credit(int bytes);

    /**
     * Called when the call ends without a complete response.
     *
     * @param failure the failure
     */
    void failed(Frame.CallFailure failure);

    /** Flushes buffered data. */
    void flush();
}

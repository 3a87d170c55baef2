package org.mimosahinge.daemon.traffic;

import org.mimosahinge.api.error.CallException;
import org.mimosahinge.net.frame.Frame;

/** Receives the response of a call for its caller; a front end other than HTTP/1.1 has its own implementation. */
interface CallerSink {

    /**
     * Starts the response.
     *
     * @param start status and headers
     */
    void started(Frame.ResponseStart start);

    /**
     * Sends part of the response's body.
     *
     * @param bytes the content
     * @param last whether the response is complete
     */
    void body(byte[] bytes, boolean last);

    /**
     * Grants flow-control credit for the request's body.
     *
     * @param bytes additional bytes that may be sent
     */
    void credit(int bytes);

    /**
     * Responds with a failure; no response has been started.
     *
     * @param failure the failure
     */
    void failed(CallException failure);

    /** Aborts a started response so that the caller cannot mistake it for a complete one. */
    void responseTruncated();

    /** Flushes buffered data. */
    void flush();
}

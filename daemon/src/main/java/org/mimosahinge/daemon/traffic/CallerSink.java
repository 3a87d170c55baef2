package org.mimosahinge.daemon.traffic;

import org.mimosahinge.api.error.CallException;
import org.mimosahinge.net.frame.Frame;

/** The caller's side of a call; another front end than HTTP/1.1 implements this. */
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
     * Allows more of the request's body.
     *
     * @param bytes additional bytes
     */
    void credit(int bytes);

    /**
     * Answers with a failure; no response was started.
     *
     * @param failure what failed
     */
    void failed(CallException failure);

    /** Breaks off a started response so that the caller cannot take it for a whole one. */
    void responseTruncated();

    /** Sends what was buffered. */
    void flush();
}

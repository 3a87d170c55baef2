package org.mimosahinge.daemon.traffic;

/** The sender's side of a started call; used on the event loop of the call only. */
interface CallStream {

    /**
     * Sends part of the request's body.
     *
     * @param bytes the content
     * @param last whether the body is complete
     */
    void body(byte[] bytes, boolean last);

    /**
     * Grants flow-control credit for the response's body.
     *
     * @param bytes additional bytes that may be sent
     */
    void credit(int bytes);

    /** Cancels the call; the observer receives nothing afterwards. */
    void cancel();

    /** Flushes buffered data. */
    void flush();
}

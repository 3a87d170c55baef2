package org.mimosahinge.daemon.traffic;

/** A started call as its sender sees it; used on the event loop of the call only. */
interface CallStream {

    /**
     * Sends part of the request's body.
     *
     * @param bytes the content
     * @param last whether the body ends here
     */
    void body(byte[] bytes, boolean last);

    /**
     * Allows more of the response's body.
     *
     * @param bytes additional bytes
     */
    void credit(int bytes);

    /** Gives the call up; nothing is observed afterwards. */
    void cancel();

    /** Sends what was buffered. */
    void flush();
}

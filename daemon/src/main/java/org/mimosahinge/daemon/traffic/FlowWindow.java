package org.mimosahinge.daemon.traffic;

/** Counts what may still be sent of one body before the receiver grants more. */
final class FlowWindow {

    /** Bytes of one body that may be on their way; bounds the memory that a slow reader can hold. */
    static final int BYTES = 64 * 1024;

    /** Grants are collected to this size so that they cost few frames. */
    private static final int MIN_GRANT_BYTES = BYTES / 4;

    private long available = BYTES;
    private int ungranted;

    /** Notes sent bytes. */
    void sent(int bytes) {
        available -= bytes;
    }

    /** Notes a grant by the receiver. */
    void granted(int bytes) {
        available += bytes;
    }

    boolean open() {
        return available > 0;
    }

    /** Notes consumed bytes at the receiving end and returns the grant to send now, 0 to send none. */
    int consumed(int bytes) {
        ungranted += bytes;
        if (ungranted < MIN_GRANT_BYTES) {
            return 0;
        }
        int grant = ungranted;
        ungranted = 0;
        return grant;
    }
}

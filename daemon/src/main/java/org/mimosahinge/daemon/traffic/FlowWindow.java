package org.mimosahinge.daemon.traffic;

/** Flow-control window of one body: how much may be sent before the receiver grants more credit. */
final class FlowWindow {

    /** Bytes of one body that may be in transit; bounds the memory that a slow reader can occupy. */
    static final int BYTES = 64 * 1024;

    /** Credit is granted in steps of at least this size, to send fewer frames. */
    private static final int MIN_GRANT_BYTES = BYTES / 4;

    private long available = BYTES;
    private int ungranted;

    /** Subtracts sent bytes from the window. */
    void sent(int bytes) {
        available -= bytes;
    }

    /** Adds credit granted by the receiver. */
    void granted(int bytes) {
        available += bytes;
    }

    boolean open() {
        return available > 0;
    }

    /** Counts bytes consumed by the receiver and returns the credit to grant now, or 0 for none. */
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

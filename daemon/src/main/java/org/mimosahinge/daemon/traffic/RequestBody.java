package org.mimosahinge.daemon.traffic;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mimosahinge.api.platform.ObjectHash;

/**
 * The received part of a request's body. All of it is held until an attempt has been given it, so that no wait before the
 * first attempt loses a part; then it is kept for further attempts while it fits one flow-control window.
 *
 * <p>The caller gets credit only for what an attempt has sent on, which bounds what is held before the first one.
 */
final class RequestBody {

    private final List<byte[]> parts = new ArrayList<>(1);
    private long receivedBytes;
    private long grantedBytes;
    private boolean complete;
    private boolean replayed;
    private boolean dropped;

    void add(byte[] bytes, boolean last) {
        receivedBytes += bytes.length;
        complete = last;
        if (!dropped) {
            parts.add(bytes);
            dropIfTooLong();
        }
    }

    private void dropIfTooLong() {
        if (replayed && !fitsWindow()) {
            dropped = true;
            parts.clear();
        }
    }

    /** Returns whether another attempt can send the body from its start. */
    boolean replayable() {
        return !dropped;
    }

    /**
     * Returns whether the received part leaves room in one flow-control window. A caller is not read once its window is
     * full, so nothing may wait for more of a body that does not fit.
     */
    boolean fitsWindow() {
        return receivedBytes < FlowWindow.BYTES;
    }

    long receivedBytes() {
        return receivedBytes;
    }

    /** Sends the received parts. */
    void replay(Attempt attempt) {
        for (int i = 0; i < parts.size(); i++) {
            attempt.requestBody(parts.get(i), complete && i == parts.size() - 1);
        }
        replayed = true;
        dropIfTooLong();
    }

    /** Returns the hash of the body, or empty if the body is incomplete or too long to be compared. */
    Optional<String> hash(boolean hasBody) {
        if (!hasBody) {
            return Optional.of("");
        }
        if (!complete || !fitsWindow()) {
            return Optional.empty();
        }
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        parts.forEach(content::writeBytes);
        return Optional.of(ObjectHash.of(content.toByteArray()).hex());
    }

    /** Limits credit to what the caller has sent, because replayed bytes are credited again. */
    int limitGrant(int bytes) {
        int grant = (int) Math.min(bytes, receivedBytes - grantedBytes);
        grantedBytes += grant;
        return grant;
    }
}

package org.mimosahinge.daemon.traffic;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mimosahinge.api.platform.ObjectHash;

/** The received part of a request's body; kept for further attempts while it fits one flow-control window. */
final class RequestBody {

    private final List<byte[]> parts = new ArrayList<>(1);
    private long receivedBytes;
    private long grantedBytes;
    private boolean complete;

    void add(byte[] bytes, boolean last) {
        receivedBytes += bytes.length;
        complete = last;
        if (replayable()) {
            parts.add(bytes);
        } else {
            parts.clear();
        }
    }

    /** Returns whether another attempt can send the body from its start. */
    boolean replayable() {
        return receivedBytes <= FlowWindow.BYTES;
    }

    /** Sends the received parts. */
    void replay(Attempt attempt) {
        for (int i = 0; i < parts.size(); i++) {
            attempt.requestBody(parts.get(i), complete && i == parts.size() - 1);
        }
    }

    /** Returns the hash of the body, or empty if the body is incomplete or too long to be kept. */
    Optional<String> hash(boolean hasBody) {
        if (!hasBody) {
            return Optional.of("");
        }
        if (!complete || !replayable()) {
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

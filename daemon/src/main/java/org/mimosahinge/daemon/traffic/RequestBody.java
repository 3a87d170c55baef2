package org.mimosahinge.daemon.traffic;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mimosahinge.api.platform.ObjectHash;

/** The part of a request's body that has arrived, kept for another attempt as far as it fits one window. */
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

    /** Tells whether another attempt could send the body from its start. */
    boolean replayable() {
        return receivedBytes <= FlowWindow.BYTES;
    }

    /** Sends the kept parts. */
    void replay(Attempt attempt) {
        for (int i = 0; i < parts.size(); i++) {
            attempt.requestBody(parts.get(i), complete && i == parts.size() - 1);
        }
    }

    /** Returns the body's hash, empty while the body is not known as a whole. */
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

    /** Limits grants to what the caller has sent, since a replay is granted a second time. */
    int limitGrant(int bytes) {
        int grant = (int) Math.min(bytes, receivedBytes - grantedBytes);
        grantedBytes += grant;
        return grant;
    }
}

package org.mimosahinge.daemon.traffic;

import java.util.ArrayList;
import java.util.List;
import org.mimosahinge.net.frame.Frame;

/** The part of a response that has been received but not yet sent to the caller. */
final class BufferedResponse {

    private final Frame.ResponseStart start;
    private final List<byte[]> parts = new ArrayList<>(1);
    private long bytes;

    BufferedResponse(Frame.ResponseStart start) {
        this.start = start;
    }

    Frame.ResponseStart start() {
        return start;
    }

    List<byte[]> parts() {
        return parts;
    }

    long bytes() {
        return bytes;
    }

    void add(byte[] part) {
        if (part.length > 0) {
            parts.add(part);
            bytes += part.length;
        }
    }

    boolean isComplete(CallRequest request) {
        ResponseProgress received = new ResponseProgress(request);
        received.begin(start);
        parts.forEach(received::accept);
        return received.complete();
    }
}

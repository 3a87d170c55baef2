package org.mimosahinge.daemon.traffic;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import org.mimosahinge.core.retry.DownloadProgress;
import org.mimosahinge.net.frame.Frame;

/** How much of a call's response the caller has received, over all attempts. */
final class ResponseProgress {

    private final CallRequest request;
    private DownloadProgress download;
    private long skipBytes;

    ResponseProgress(CallRequest request) {
        this.request = request;
    }

    boolean begun() {
        return download != null;
    }

    void begin(Frame.ResponseStart start) {
        boolean bodyless = request.method().equals("HEAD") || start.status() == 204 || start.status() == 304;
        download = new DownloadProgress(
                request.method(),
                request.headers().containsKey("range"),
                start.status(),
                start.headers().getOrDefault("etag", ""),
                bodyless ? -1 : start.contentLength(),
                0);
    }

    /** Returns whether the response of another attempt continues this one; bytes sent already are skipped. */
    boolean resumes(Frame.ResponseStart start) {
        Optional<Long> leading = download.bytesToSkip(start.status(), start.headers());
        skipBytes = leading.orElse(0L);
        return leading.isPresent();
    }

    Optional<Map<String, String>> resumeHeaders() {
        return download.resumeHeaders();
    }

    /** Returns the part of the received bytes that the caller has not received yet. */
    byte[] accept(byte[] bytes) {
        int skipped = (int) Math.min(skipBytes, bytes.length);
        skipBytes -= skipped;
        byte[] newBytes = skipped == 0 ? bytes : Arrays.copyOfRange(bytes, skipped, bytes.length);
        download = download.plusBytes(newBytes.length);
        return newBytes;
    }

    long bytes() {
        return download.receivedBytes();
    }

    boolean complete() {
        return download.isComplete();
    }
}

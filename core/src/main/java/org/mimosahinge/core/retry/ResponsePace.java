package org.mimosahinge.core.retry;

/**
 * How long responses of a route recently took to start; tells a silent connection from a slow backend server.
 *
 * @param slowestMs slowest recent start, fading with each response
 */
public record ResponsePace(double slowestMs) {
    /** A route without responses so far. */
    public static final ResponsePace UNKNOWN = new ResponsePace(0);

    /** Silence that is tolerated anyway; a lost packet alone costs several hundred milliseconds. */
    private static final double MIN_SILENCE_MS = 1_000;

    /** Routes vary, so silence counts only well above the slowest recent response. */
    private static final double MARGIN = 4;

    private static final double FADING = 0.98;

    /**
     * Notes a response, or an attempt that was given up after this time.
     *
     * <p>Counting the latter keeps a route that is merely slow from being given up again and again.
     *
     * @param startMs time until the response started
     * @return the pace afterwards
     */
    public ResponsePace observed(double startMs) {
        return new ResponsePace(Math.max(startMs, slowestMs * FADING));
    }

    /**
     * Returns the silence after which an attempt is given up.
     *
     * @return the limit in milliseconds
     */
    public long silenceLimitMs() {
        return (long) Math.max(MIN_SILENCE_MS, MARGIN * slowestMs);
    }
}

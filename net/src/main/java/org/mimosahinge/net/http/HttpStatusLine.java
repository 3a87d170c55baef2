package org.mimosahinge.net.http;

/** The status line of a response: a version of HTTP/1 and a status of three digits from 100 to 599 (RFC 9110, 9112). */
public final class HttpStatusLine {

    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final int MIN_STATUS = 100;
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_STATUS = 599;
    private static final int STATUS_DIGITS = 3;

    private HttpStatusLine() {}

    /**
     * Checks the parts of a status line as they were received.
     *
     * @param version the version
     * @param status the status
     * @return whether both are valid
     */
    public static boolean isValid(String version, String status) {
        return version.startsWith(VERSION_PREFIX)
                && isDigits(version.substring(VERSION_PREFIX.length()), 1)
                && isDigits(status, STATUS_DIGITS)
                && Integer.parseInt(status) >= MIN_STATUS
                && Integer.parseInt(status) <= MAX_STATUS;
    }

    /**
     * Returns whether a status ends a call, other than an informational one.
     *
     * @param status the status
     * @return true from 200 to 599
     */
    public static boolean isFinal(int status) {
        return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
    }

    private static boolean isDigits(String text, int length) {
        return text.length() == length && text.chars().allMatch(c -> c >= '0' && c <= '9');
    }
}

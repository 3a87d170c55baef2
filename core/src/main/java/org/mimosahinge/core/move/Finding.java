package org.mimosahinge.core.move;

/**
 * Something about a move that operators should know.
 *
 * @param code the kind of finding
 * @param subject what it was found on, such as a route or a zone; empty for the whole service
 * @param detail the figures behind it
 */
public record Finding(Code code, String subject, String detail) {

    /** Kinds of findings. */
    public enum Code {
        /** The new version fails more than the old one. */
        MORE_ERRORS,
        /** The new version is slower than the old one. */
        SLOWER,
        /** The new version sheds far more calls than the old one. */
        MORE_SHED,
        /** The new version rejects far more calls as the caller's error. */
        MORE_CALLER_ERRORS,
        /** A node saw the fault and issued a halt mark. */
        HALTED,
        /** The time to the deadline is too short for the soak times. */
        DEADLINE_TOO_SHORT,
        /** The deadline passed before the new version carried all traffic. */
        DEADLINE_MISSED,
        /** Too few calls to compare the versions. */
        TOO_LITTLE_TRAFFIC,
        /** The ready endpoints of the new version cannot carry the next share. */
        CAPACITY_SHORT,
        /** The platform is unavailable, so the share may only go down. */
        PLATFORM_UNAVAILABLE,
        /** Evidence points to a fault but is not conclusive. */
        SUSPECTED,
        /** The soak time of the current share is not over. */
        SOAKING,
        /** The next step is not due. */
        NOT_DUE,
        /** The move is over. */
        OVER
    }

    /**
     * Creates a finding on the whole service.
     *
     * @param code the kind of finding
     * @param detail the figures behind it
     * @return the finding
     */
    public static Finding of(Code code, String detail) {
        return new Finding(code, "", detail);
    }

    @Override
    public String toString() {
        String text = code.name().toLowerCase(java.util.Locale.ROOT);
        return text + (subject.isEmpty() ? "" : " on " + subject) + (detail.isEmpty() ? "" : ": " + detail);
    }
}

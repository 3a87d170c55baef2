package org.mimosahinge.core.move;

/**
 * An observation about a move that is reported to operators.
 *
 * @param code the kind of finding
 * @param subject the affected route or zone; empty for the whole service
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
        /** A node detected the fault and issued a halt mark. */
        HALTED,
        /** The time to the deadline is too short for the soak times. */
        DEADLINE_TOO_SHORT,
        /** The deadline passed before the new version carried all traffic. */
        DEADLINE_MISSED,
        /** Too few calls to compare the versions. */
        TOO_LITTLE_TRAFFIC,
        /** The ready endpoints of the new version cannot serve the next share. */
        CAPACITY_SHORT,
        /** The platform is unavailable, so the share may only go down. */
        PLATFORM_UNAVAILABLE,
        /** The outcomes suggest a fault but do not prove it. */
        SUSPECTED,
        /** The soak time of the current share has not elapsed. */
        SOAKING,
        /** The next step is scheduled for later. */
        NOT_DUE,
        /** The move has ended. */
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

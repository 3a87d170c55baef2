package org.mimosahinge.api.document;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats durations such as {@code 500ms}, {@code 2s}, {@code 1m} or {@code 1h}. */
public final class Durations {
    // Nine digits keep the value in milliseconds within a long, even in hours.
    private static final Pattern FORMAT = Pattern.compile("([0-9]{1,9})(ms|s|m|h)");
    private static final Map<String, Duration> UNITS = Map.of(
            "ms", Duration.ofMillis(1),
            "s", Duration.ofSeconds(1),
            "m", Duration.ofMinutes(1),
            "h", Duration.ofHours(1));

    private Durations() {}

    /**
     * Parses a duration.
     *
     * @param text a whole number and a unit
     * @return the duration; empty if the text is malformed
     */
    public static Optional<Duration> parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        return matcher.matches()
                ? Optional.of(UNITS.get(matcher.group(2)).multipliedBy(Long.parseLong(matcher.group(1))))
                : Optional.empty();
    }

    /**
     * Formats a duration in the largest unit that divides it.
     *
     * @param duration the duration, a whole number of milliseconds
     * @return a whole number and a unit
     */
    public static String format(Duration duration) {
        long millis = duration.toMillis();
        if (millis % 1000 != 0 || millis == 0) {
            return millis + "ms";
        }
        long seconds = millis / 1000;
        if (seconds % 60 != 0) {
            return seconds + "s";
        }
        return seconds % 3600 == 0 ? seconds / 3600 + "h" : seconds / 60 + "m";
    }
}

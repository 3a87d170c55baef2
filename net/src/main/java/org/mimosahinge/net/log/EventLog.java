package org.mimosahinge.net.log;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.function.Predicate;

/** Structured log of a component: one line of key=value pairs for each event. */
public final class EventLog {

    /** Rate limit by event name, applied before a line is built because building it costs more than counting it. */
    private static volatile Predicate<String> rateLimiter = event -> true;

    /** Start of each line, followed by the event's name. */
    static final String EVENT_PREFIX = "event=";

    private final Logger logger;

    private EventLog(Logger logger) {
        this.logger = logger;
    }

    /**
     * Returns the log of a component.
     *
     * @param component the component's name, such as {@code control}
     * @return the log
     */
    public static EventLog of(String component) {
        return new EventLog(System.getLogger("org.mimosahinge." + component));
    }

    /**
     * Sets the rate limit of all components.
     *
     * @param limiter returns whether another line of the event with this name may be written now
     */
    static void setRateLimiter(Predicate<String> limiter) {
        rateLimiter = limiter;
    }

    /**
     * Returns whether events of a level are logged, so that callers can avoid the cost of building those that are not.
     *
     * @param level the level
     * @return true when they are logged
     */
    public boolean enabled(Level level) {
        return logger.isLoggable(level);
    }

    /**
     * Logs an event at level INFO.
     *
     * @param event the event's name
     * @param pairs alternating keys and values
     */
    public void info(String event, Object... pairs) {
        log(Level.INFO, event, pairs);
    }

    /**
     * Logs an event at level WARNING.
     *
     * @param event the event's name
     * @param pairs alternating keys and values
     */
    public void warn(String event, Object... pairs) {
        log(Level.WARNING, event, pairs);
    }

    /**
     * Logs an event.
     *
     * @param level the level
     * @param event the event's name
     * @param pairs alternating keys and values
     */
    public void log(Level level, String event, Object... pairs) {
        if (logger.isLoggable(level) && rateLimiter.test(event)) {
            logger.log(level, format(event, pairs));
        }
    }

    static String format(String event, Object... pairs) {
        StringBuilder line = new StringBuilder(EVENT_PREFIX).append(event);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            line.append(' ').append(pairs[i]).append('=').append(quote(String.valueOf(pairs[i + 1])));
        }
        return line.toString();
    }

    private static String quote(String value) {
        boolean unquoted =
                !value.isEmpty() && value.chars().allMatch(c -> c > ' ' && c != '"' && c != '=' && c != 0x7f);
        if (unquoted) {
            return value;
        }
        String escaped = value.replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("\n", "\\n")
                .replace("\r", "\\r");
        return '"' + escaped + '"';
    }
}

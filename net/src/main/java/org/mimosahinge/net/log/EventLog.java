package org.mimosahinge.net.log;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.function.Predicate;

/** Writes one line of key=value pairs for each event. */
public final class EventLog {

    /** Bounds the lines of each event; asked before a line is built, as building it costs more than counting it. */
    private static volatile Predicate<String> rateLimiter = event -> true;

    /** Leads each line. */
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
     * Sets what bounds the lines of all components.
     *
     * @param limiter tells whether another line of an event may be written now
     */
    static void setRateLimiter(Predicate<String> limiter) {
        rateLimiter = limiter;
    }

    /**
     * Tells whether events of a level are written, so that callers can skip the work of building them.
     *
     * @param level the level
     * @return true when they are written
     */
    public boolean enabled(Level level) {
        return logger.isLoggable(level);
    }

    /**
     * Logs an event at level INFO.
     *
     * @param event the event's name
     * @param pairs keys and values in turn
     */
    public void info(String event, Object... pairs) {
        log(Level.INFO, event, pairs);
    }

    /**
     * Logs an event at level WARNING.
     *
     * @param event the event's name
     * @param pairs keys and values in turn
     */
    public void warn(String event, Object... pairs) {
        log(Level.WARNING, event, pairs);
    }

    /**
     * Logs an event.
     *
     * @param level the level
     * @param event the event's name
     * @param pairs keys and values in turn
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
        boolean plain = !value.isEmpty() && value.chars().allMatch(c -> c > ' ' && c != '"' && c != '=' && c != 0x7f);
        if (plain) {
            return value;
        }
        String escaped = value.replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("\n", "\\n")
                .replace("\r", "\\r");
        return '"' + escaped + '"';
    }
}

package org.mimosahinge.cli;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One log line of a node.
 *
 * @param source log file that contains the line
 * @param pairs keys and values in the order of the line
 */
record LogLine(String source, Map<String, String> pairs) {

    private static final String EVENT = "event";
    private static final String TIME = "time";

    /**
     * Parses a line.
     *
     * <p>Text before {@code time=} is skipped, since log collectors prepend their own names and timestamps.
     *
     * @param source log file that contains the line
     * @param text the line
     * @return the parsed line, empty if the text is not a log line of a node
     */
    static Optional<LogLine> parse(String source, String text) {
        int start = text.indexOf(TIME + '=');
        if (start < 0) {
            return Optional.empty();
        }
        Map<String, String> pairs = new LinkedHashMap<>();
        int position = start;
        while (position < text.length()) {
            int equals = text.indexOf('=', position);
            if (equals < 0) {
                break;
            }
            int end = valueEnd(text, equals + 1);
            pairs.put(text.substring(position, equals), unquote(text.substring(equals + 1, end)));
            position = end + 1;
        }
        return pairs.containsKey(EVENT) ? Optional.of(new LogLine(source, pairs)) : Optional.empty();
    }

    /** Returns the index after the value that starts at {@code from}; a quoted value may contain escaped quotes. */
    private static int valueEnd(String text, int from) {
        if (from >= text.length() || text.charAt(from) != '"') {
            int space = text.indexOf(' ', from);
            return space < 0 ? text.length() : space;
        }
        int position = from + 1;
        while (position < text.length() && text.charAt(position) != '"') {
            position += text.charAt(position) == '\\' ? 2 : 1;
        }
        return Math.min(text.length(), position + 1);
    }

    private static String unquote(String value) {
        if (value.length() < 2 || value.charAt(0) != '"') {
            return value;
        }
        return value.substring(1, value.length() - 1)
                .replace("\\n", "\n")
                .replace("\\r", "\r")
                .replace("\\\"", "\"")
                .replace("\\\\", "\\");
    }

    String event() {
        return pairs.get(EVENT);
    }

    String time() {
        return pairs.getOrDefault(TIME, "");
    }

    String value(String key) {
        return pairs.getOrDefault(key, "");
    }

    boolean has(String key, String value) {
        return value.equals(pairs.get(key));
    }

    /** Returns all pairs but time and event, which have their own columns, and level and component. */
    String details() {
        StringBuilder details = new StringBuilder();
        pairs.forEach((key, value) -> {
            if (!key.equals(TIME) && !key.equals(EVENT) && !key.equals("level") && !key.equals("component")) {
                details.append(details.isEmpty() ? "" : " ")
                        .append(key)
                        .append('=')
                        .append(value);
            }
        });
        return details.toString();
    }
}

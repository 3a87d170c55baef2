package org.mimosahinge.net.log;

import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

/** Formats records as one line that starts with time, level and component. */
public final class KeyValueFormatter extends Formatter {

    @Override
    public String format(LogRecord entry) {
        return "time=" + entry.getInstant() + " level=" + entry.getLevel().getName() + " component="
                + component(entry.getLoggerName()) + ' ' + formatMessage(entry) + '\n';
    }

    private static String component(String loggerName) {
        return loggerName == null ? "unknown" : loggerName.substring(loggerName.lastIndexOf('.') + 1);
    }

    /**
     * Sends all records to standard error in this format.
     *
     * @param level the lowest level that is written
     */
    public static void install(Level level) {
        Logger root = Logger.getLogger("");
        for (var handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        StreamHandler handler = new StreamHandler(System.err, new KeyValueFormatter()) {
            @Override
            public synchronized void publish(LogRecord entry) {
                super.publish(entry);
                flush();
            }
        };
        handler.setLevel(level);
        root.addHandler(handler);
        root.setLevel(level);
    }
}

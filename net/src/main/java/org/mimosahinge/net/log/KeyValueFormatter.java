package org.mimosahinge.net.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Formats each record as one line that starts with time, level and component. */
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
     * Configures the root logger to write all records to standard output in this format, with a limited rate.
     *
     * @param level minimum level of the records that are written
     */
    public static void install(Level level) {
        Logger root = Logger.getLogger("");
        for (var handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        AsyncLogHandler log = new AsyncLogHandler(
                new FileOutputStream(FileDescriptor.out), new KeyValueFormatter(), System::nanoTime);
        log.setLevel(level);
        EventLog.setRateLimiter(log::tryAcquire);
        root.addHandler(log);
        root.setLevel(level);
    }
}

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was sent, answered and run, one line for each event with its time in milliseconds; written to record.txt. */
final class Record implements AutoCloseable {

    record Event(long ms, String name, List<String> pairs) {

        String get(String key) {
            int at = pairs.indexOf(key);
            return at < 0 ? "" : pairs.get(at + 1);
        }
    }

    private final long startNanos = System.nanoTime();
    private final List<Event> events = new ArrayList<>();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
    }

    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void add(String name, Object... pairs) {
        List<String> texts = new ArrayList<>();
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < pairs.length; i += 2) {
            texts.add(String.valueOf(pairs[i]));
            texts.add(String.valueOf(pairs[i + 1]));
            line.append(' ').append(pairs[i]).append('=').append(pairs[i + 1]);
        }
        Event event = new Event(nowMs(), name, texts);
        events.add(event);
        out.println(event.ms() + " " + name + line);
        out.flush();
    }

    synchronized List<Event> events(String name) {
        return events.stream().filter(event -> event.name().equals(name)).toList();
    }

    @Override
    public void close() {
        out.close();
    }
}

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with seconds since the start of the case. */
final class Record {

    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String text) {
        out.printf("%8.3f %s%n", seconds(), text);
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }
}

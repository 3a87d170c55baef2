import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a blocking stream. */
final class Http {

    /**
     * A message.
     *
     * @param line request line or status line
     * @param headers headers by lower-case name
     * @param body the body
     * @param complete whether the whole body was received
     */
    record Message(String line, Map<String, String> headers, byte[] body, boolean complete) {

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    private Http() {}

    /** Reads the head of a message; returns null if the stream ends before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
        }
        return new Message(line, headers, new byte[0], false);
    }

    /** Reads a message; returns null if the stream ends before its first byte. */
    static Message read(InputStream in, boolean response) throws IOException {
        Message head = readHead(in);
        if (head == null) {
            return null;
        }
        String line = head.line();
        Map<String, String> headers = head.headers();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = true;
        if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
            while (true) {
                String size = line(in);
                if (size == null) {
                    return new Message(line, headers, body.toByteArray(), false);
                }
                int length = Integer.parseInt(size.split(";")[0].strip(), 16);
                byte[] chunk = in.readNBytes(length);
                body.writeBytes(chunk);
                if (chunk.length < length || line(in) == null) {
                    return new Message(line, headers, body.toByteArray(), false);
                }
                if (length == 0) {
                    break;
                }
            }
        } else if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            body.writeBytes(in.readNBytes(length));
            complete = body.size() == length;
        } else if (response) {
            body.writeBytes(in.readAllBytes());
        }
        return new Message(line, headers, body.toByteArray(), complete);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                out.write(b);
            }
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }
}

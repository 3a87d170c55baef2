import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends single requests, each on a connection of its own. */
final class Client {

    /** The answer to a request; status 0 if the connection ended or timed out without a complete one. */
    record Answer(int status, String signature, String body, String failure) {

        @Override
        public String toString() {
            return status == 0 ? "no answer (" + failure + ")"
                    : status + (signature.isEmpty() ? "" : " signed " + signature) + (status < 300 ? "" : " " + body);
        }
    }

    private Client() {}

    /** Sends a long body in the background and reads the answer meanwhile. */
    static Answer sendWhileReading(String ip, int port, int timeoutMs, String head, byte[] body) {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setSoTimeout(timeoutMs);
            Thread sender = new Thread(() -> {
                try {
                    OutputStream out = socket.getOutputStream();
                    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                    out.write(body);
                    out.flush();
                } catch (IOException e) {
                    // The node answered and closed the connection before the body was sent.
                }
            });
            sender.setDaemon(true);
            sender.start();
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), true);
            if (answer == null || !answer.complete()) {
                return new Answer(0, "", "", "connection ended" + (answer == null ? "" : " after part of an answer"));
            }
            return new Answer(answer.status(), answer.header("x-response-signature"),
                    new String(answer.body(), StandardCharsets.UTF_8), "");
        } catch (IOException e) {
            return new Answer(0, "", "", e.toString());
        }
    }

    static Answer send(String ip, int port, int timeoutMs, String head, byte[] body) {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(ip, port), Math.min(1_000, timeoutMs));
            socket.setSoTimeout(timeoutMs);
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), true);
            if (answer == null || !answer.complete()) {
                return new Answer(0, "", "", "connection ended");
            }
            return new Answer(answer.status(), answer.header("x-response-signature"),
                    new String(answer.body(), StandardCharsets.UTF_8), "");
        } catch (IOException e) {
            return new Answer(0, "", "", e.toString());
        }
    }
}

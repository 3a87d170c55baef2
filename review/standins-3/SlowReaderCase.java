import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

/** A planned stop while a client still reads answers that the node has from its endpoint: the answers that are cut. */
final class SlowReaderCase extends Case {

    private static final long HEARTBEAT_MS = 870;
    /** Longer than contactS, so that all machines are in touch. */
    private static final long CALM_MS = 5_000;

    private static final int REQUESTS = 170;
    private static final int BODY_BYTES = 60_000;
    private static final long DEADLINE_MS = 10_026;
    /** Bytes that the client reads at once, and the pause after them: 1.2 MB/s, about 10 Mbit/s. */
    private static final int READ_BYTES = 60_000;

    private static final long PAUSE_MS = 50;
    private static final long SIGNAL_AFTER_MS = 1_500;
    private static final String HOST = "transcripts.example";

    public static void main(String[] args) {
        main(new SlowReaderCase(), args[0]);
    }

    @Override
    List<String> run() throws Exception {
        Store store = use(new Store("127.0.12.1"));
        store.put("op", "config", config("r7", List.of(
                route("r-transcript", HOST, "/transcript/", "idempotent", "transcripts", 3.008, 10.026, 2),
                service("transcripts"),
                service("shop"))));
        Machine callers = use(new Machine(folder, "sidecar-a-1", "127.0.12.1", "zone-a", "shop", store.address(), record));
        Machine servers =
                use(new Machine(folder, "sidecar-b-1", "127.0.12.1", "zone-b", "transcripts", store.address(), record));
        use(new Endpoint("i-shop", "shop", "zone-a", "127.0.12.1", callers.appPort(), 6, path -> 20, record))
                .reportTo(callers.control(), HEARTBEAT_MS);
        use(new Endpoint("i-1", "transcripts", "zone-b", "127.0.12.1", servers.appPort(), 12, path -> 5, record))
                .with("v1", 0, BODY_BYTES)
                .reportTo(servers.control(), HEARTBEAT_MS);
        callers.start();
        servers.start();
        callers.awaitReady();
        servers.awaitReady();
        Thread.sleep(CALM_MS);
        List<String> requests = new ArrayList<>();
        StringBuilder sent = new StringBuilder();
        for (int i = 0; i < REQUESTS; i++) {
            String id = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
            requests.add(id);
            sent.append("GET /transcript/").append(i).append(" HTTP/1.1\r\nHost: ").append(HOST)
                    .append("\r\nX-Request-Id: ").append(id)
                    .append("\r\nX-Deadline-Ms: ").append(DEADLINE_MS).append("\r\n\r\n");
        }
        String address = callers.outbound();
        int colon = address.lastIndexOf(':');
        long whole = 0;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(64 * 1024);
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
            OutputStream out = socket.getOutputStream();
            out.write(sent.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            requests.forEach(id -> record.add("sent", "machine", callers.name(), "request", id));
            if (trouble) {
                Thread stop = new Thread(() -> stop(callers));
                stop.start();
            }
            whole = readSlowly(socket.getInputStream(), requests);
        }
        record.add("read", "whole_answers", whole, "of", REQUESTS);
        List<String> breaches = new ArrayList<>();
        for (int i = (int) whole; i < REQUESTS; i++) {
            String id = requests.get(i);
            boolean passedOn = record.events("run_ended").stream().anyMatch(event -> event.get("request").equals(id));
            if (passedOn) {
                breaches.add("request " + id + " has run to its end, and its answer is cut or missing");
            }
        }
        return breaches;
    }

    private void stop(Machine machine) {
        try {
            Thread.sleep(SIGNAL_AFTER_MS);
            machine.signal("TERM");
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Reads the answers in order, pausing after each, and returns how many were whole and of the endpoint. */
    private long readSlowly(InputStream in, List<String> requests) throws InterruptedException {
        InputStream buffered = new BufferedInputStream(in, READ_BYTES);
        int whole = 0;
        try {
            for (String id : requests) {
                Http.Response response = Http.readResponse(buffered);
                boolean ofEndpoint = response.header("X-Response-Signature").equals("i-1." + id);
                record.add("answer", "request", id, "status", response.status(), "bytes", response.body().length,
                        "of_endpoint", ofEndpoint);
                if (!ofEndpoint) {
                    return whole;
                }
                whole++;
                Thread.sleep(PAUSE_MS);
            }
        } catch (IOException e) {
            record.add("connection_ended", "reason", e);
        }
        return whole;
    }
}

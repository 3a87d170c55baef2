import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Small stand-ins of the users' platform for the scripts of this review: store, backend server, caller and node process.
 * Everything listens on loopback addresses; each node has an address of its own, as its metrics port is fixed.
 */
final class Kit {

    static final ObjectMapper JSON = new ObjectMapper();

    private Kit() {}

    // ---------------------------------------------------------------- record

    /** The record of a run: one line for each thing that was sent, answered or run. */
    static final class Journal implements AutoCloseable {

        private final long startNanos = System.nanoTime();
        private final java.io.PrintWriter out;

        Journal(Path file) throws IOException {
            out = new java.io.PrintWriter(Files.newBufferedWriter(file));
        }

        double now() {
            return (System.nanoTime() - startNanos) / 1e9;
        }

        synchronized void line(String format, Object... args) {
            out.printf(Locale.ROOT, "%8.3f %s%n", now(), String.format(Locale.ROOT, format, args));
            out.flush();
        }

        /** Writes a line of the outcome, which is also printed. */
        synchronized void say(String format, Object... args) {
            String text = String.format(Locale.ROOT, format, args);
            line("%s", text);
            System.out.println(text);
        }

        @Override
        public synchronized void close() {
            out.close();
        }
    }

    // ------------------------------------------------------------------ http

    /** A message of HTTP/1.1 with its whole body; header names are in lower case. */
    static final class Message {

        String first = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** Reads the head of a message; null at the end of the stream before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        byte[] end = {'\r', '\n', '\r', '\n'};
        while (matched < 4) {
            int b = in.read();
            if (b < 0) {
                if (head.size() == 0) {
                    return null;
                }
                throw new IOException("stream ended within a head");
            }
            head.write(b);
            matched = b == end[matched] ? matched + 1 : b == '\r' ? 1 : 0;
        }
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Message message = new Message();
        message.first = lines[0];
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon > 0) {
                message.headers.put(
                        lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).strip());
            }
        }
        return message;
    }

    /** Reads a body of a given length or in chunks. */
    static byte[] readBody(InputStream in, Message message) throws IOException {
        if (message.header("transfer-encoding").contains("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
                body.write(readFully(in, size));
                readLine(in);
                if (size == 0) {
                    return body.toByteArray();
                }
            }
        }
        String length = message.header("content-length");
        return length.isEmpty() ? new byte[0] : readFully(in, Integer.parseInt(length));
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new IOException("stream ended within a line");
            }
            if (b != '\r') {
                line.append((char) b);
            }
        }
        return line.toString();
    }

    static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("body ended after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static void sendJson(OutputStream out, int status, String json) throws IOException {
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        out.write(bytes("HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                + "\r\n\r\n"));
        out.write(body);
        out.flush();
    }

    /** Handles one accepted connection until it ends. */
    interface ConnectionHandler {
        void handle(Socket socket) throws Exception;
    }

    /** Accepts connections, each on a thread of its own. */
    static final class Listener implements AutoCloseable {

        final ServerSocket server;
        final List<Socket> open = new CopyOnWriteArrayList<>();

        Listener(String host, int port, ConnectionHandler handler) throws IOException {
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(host, port), 1024);
            daemon(() -> accept(handler));
        }

        int port() {
            return server.getLocalPort();
        }

        private void accept(ConnectionHandler handler) {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    daemon(() -> {
                        try (socket) {
                            handler.handle(socket);
                        } catch (Exception e) {
                            // The other side has closed the connection; the record shows what was answered.
                        } finally {
                            open.remove(socket);
                        }
                    });
                } catch (IOException e) {
                    // The listener was closed.
                }
            }
        }

        @Override
        public void close() {
            try {
                server.close();
                for (Socket socket : open) {
                    socket.close();
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static boolean await(double seconds, Supplier<Boolean> condition) {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        while (System.nanoTime() < end) {
            if (condition.get()) {
                return true;
            }
            sleep(0.02);
        }
        return condition.get();
    }

    /** Returns a port that is free at an address. */
    static int freePort(String host) {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // ----------------------------------------------------------------- store

    /** The platform's store: rows, feeds and transactions under conditions, linearizable. */
    static final class Store implements AutoCloseable {

        private record Row(String table, String part, String key, String value, long ver, boolean deleted) {}

        private final TreeMap<String, Row> rows = new TreeMap<>();
        private final Journal journal;
        final Listener listener;

        /** Whether all calls are turned away with 503, which says that nothing was done. */
        volatile boolean down;

        /** Targets of the calls that were turned away. */
        final List<String> turnedAway = new CopyOnWriteArrayList<>();

        private long ver;

        Store(Journal journal) throws IOException {
            this.journal = journal;
            listener = new Listener("127.0.0.1", 0, this::serve);
        }

        String address() {
            return "127.0.0.1:" + listener.port();
        }

        private void serve(Socket socket) throws Exception {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Message call = readHead(in); call != null; call = readHead(in)) {
                call.body = readBody(in, call);
                String path = down ? "down" : call.target().split("\\?")[0];
                Map<String, String> query = query(call.target());
                switch (path) {
                    case "down" -> {
                        turnedAway.add(call.target());
                        sendJson(out, 503, "{}");
                    }
                    case "/rows-get" -> sendJson(out, 200, get(query));
                    case "/rows-feed" -> sendJson(out, 200, feed(query));
                    case "/rows-tx" -> {
                        ObjectNode answer = JSON.createObjectNode();
                        sendJson(out, transact(JSON.readTree(call.body), answer), answer.toString());
                    }
                    default -> sendJson(out, 404, "{}");
                }
            }
        }

        private static Map<String, String> query(String target) {
            Map<String, String> query = new TreeMap<>();
            int at = target.indexOf('?');
            for (String pair : at < 0 ? new String[0] : target.substring(at + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
            return query;
        }

        private synchronized String get(Map<String, String> query) {
            String table = query.get("tableName");
            String part = query.getOrDefault("part", "");
            String from = query.getOrDefault("from", "");
            String to = query.getOrDefault("to", "");
            int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
            List<Row> found = rows.values().stream()
                    .filter(row -> row.table.equals(table) && row.part.equals(part) && !row.deleted)
                    .filter(row -> row.key.compareTo(from) >= 0 && (to.isEmpty() || row.key.compareTo(to) < 0))
                    .toList();
            ObjectNode answer = answer(found.stream().limit(limit).toList());
            return answer.put("hasMore", found.size() > limit).toString();
        }

        private String feed(Map<String, String> query) throws InterruptedException {
            String table = query.get("tableName");
            long after = Long.parseLong(query.getOrDefault("after", "0"));
            long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
            synchronized (this) {
                while (true) {
                    List<Row> changed = rows.values().stream()
                            .filter(row -> row.table.equals(table) && row.ver > after)
                            .sorted(Comparator.comparingLong(Row::ver))
                            .toList();
                    long leftMs = down ? 0 : (end - System.nanoTime()) / 1_000_000;
                    if (!changed.isEmpty() || leftMs <= 0) {
                        return answer(changed).toString();
                    }
                    wait(leftMs);
                }
            }
        }

        private ObjectNode answer(List<Row> found) {
            ObjectNode answer = JSON.createObjectNode();
            ArrayNode list = answer.putArray("rows");
            for (Row row : found) {
                ObjectNode json = list.addObject();
                json.put("tableName", row.table).put("part", row.part).put("key", row.key).put("ver", row.ver);
                if (row.deleted) {
                    json.put("deleted", true);
                } else {
                    json.put("value", row.value);
                }
            }
            return answer.put("ver", ver).put("nowS", System.nanoTime() / 1e9);
        }

        private synchronized int transact(JsonNode call, ObjectNode answer) {
            for (JsonNode condition : call.path("precondition")) {
                Row row = rows.get(name(condition));
                long held = row == null || row.deleted ? 0 : row.ver;
                if (held != condition.path("ver").asLong()) {
                    List<Row> current = new ArrayList<>();
                    call.path("precondition").forEach(required -> {
                        Row found = rows.get(name(required));
                        if (found != null && !found.deleted) {
                            current.add(found);
                        }
                    });
                    answer.setAll(answer(current));
                    return 412;
                }
            }
            ver++;
            call.path("put").forEach(row -> store(row, row.path("value").asText(), false));
            call.path("remove").forEach(row -> store(row, "", true));
            notifyAll();
            answer.put("ver", ver).put("nowS", System.nanoTime() / 1e9);
            return 200;
        }

        private void store(JsonNode row, String value, boolean deleted) {
            String table = row.path("tableName").asText();
            String key = row.path("key").asText();
            rows.put(name(row), new Row(table, row.path("part").asText(), key, value, ver, deleted));
            journal.line("store: row %s/%s version %d%s", table, key, ver, deleted ? " removed" : "");
        }

        private static String name(JsonNode row) {
            return row.path("tableName").asText() + '\0' + row.path("part").asText() + '\0'
                    + row.path("key").asText();
        }

        /** Writes a row as the operator does; its return is the acknowledgement. */
        synchronized void operatorPuts(String key, String json) {
            ver++;
            ObjectNode row = JSON.createObjectNode().put("tableName", "op").put("part", "").put("key", key);
            store(row, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), false);
            notifyAll();
        }

        /** Takes the store down or brings it back. */
        synchronized void setDown(boolean next) {
            down = next;
            journal.line("store: %s", next ? "down, all calls get 503" : "back");
            notifyAll();
        }

        /** Returns a row's value, an empty string if there is none. */
        synchronized String value(String table, String key) {
            Row row = rows.get(table + '\0' + '\0' + key);
            return row == null || row.deleted
                    ? ""
                    : new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
        }

        @Override
        public void close() {
            listener.close();
        }
    }

    // --------------------------------------------------------------- backend

    /** A request that has reached a backend server, with the connection on which it answers. */
    record Arrival(Backend at, Message request, InputStream in, OutputStream out, Socket socket) {

        String id() {
            return request.header("x-request-id");
        }

        void answer(int status, byte[] body) throws IOException {
            answerHead(status, body.length);
            out.write(body);
            out.flush();
        }

        void answerHead(int status, int length) throws IOException {
            out.write(bytes("HTTP/1.1 " + status + " X\r\nX-Request-Id: " + id() + "\r\nX-Response-Signature: sig."
                    + at.id + "." + id() + "\r\nContent-Length: " + length + "\r\n\r\n"));
        }
    }

    interface Work {
        void run(Arrival arrival) throws Exception;
    }

    /** A backend server beside a node: runs requests and reports itself at the node's control address. */
    static final class Backend implements AutoCloseable {

        final String id;
        final String service;
        final String zone;
        final String host;
        final Listener listener;
        final long born = System.currentTimeMillis();
        private final Journal journal;
        private final AtomicLong seq = new AtomicLong();
        volatile String version = "v1";
        volatile int slots = 16;
        volatile String state = "ready";
        volatile boolean reporting;
        volatile Work work;

        Backend(Journal journal, String id, String service, String zone, String host, int port, Work work)
                throws IOException {
            this.journal = journal;
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.host = host;
            this.work = work;
            listener = new Listener(host, port, this::serve);
        }

        String address() {
            return host + ":" + listener.port();
        }

        private void serve(Socket socket) throws Exception {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Message request = readHead(in); request != null; request = readHead(in)) {
                request.body = readBody(in, request);
                if (!request.header("x-target-instance").isEmpty()
                        && !request.header("x-target-instance").equals(id)) {
                    journal.line("%s: 421 to %s", id, request.header("x-request-id"));
                    out.write(bytes("HTTP/1.1 421 X\r\nX-Request-Id: " + request.header("x-request-id")
                            + "\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"));
                    out.flush();
                    continue;
                }
                work.run(new Arrival(this, request, in, out, socket));
            }
        }

        /** Reports every heartbeat interval until it is stopped. */
        void report(String control, double heartbeatS) {
            reporting = true;
            daemon(() -> {
                while (reporting) {
                    tell(control, "heartbeat");
                    sleep(heartbeatS);
                }
            });
        }

        /** Sends one report and returns the status of its answer, 0 without one. */
        int tell(String control, String call) {
            ObjectNode body = JSON.createObjectNode().put("born", born);
            if (call.equals("heartbeat")) {
                body.put("service", service).put("address", address()).put("zone", zone).put("version", version);
                body.put("slots", slots).put("state", state).put("coldLeftS", 0).put("seq", seq.incrementAndGet());
            }
            try (Caller caller = new Caller(control, 1000)) {
                Message answer = caller.exchange("POST", "/instances/" + id + "/" + call,
                        Map.of("Host", control, "Content-Type", "application/json"),
                        body.toString().getBytes(StandardCharsets.UTF_8));
                if (!call.equals("heartbeat") || !state.equals("ready") || answer.status() != 200) {
                    journal.line("%s: %s (%s) answered %d", id, call, state, answer.status());
                }
                return answer.status();
            } catch (IOException e) {
                return 0;
            }
        }

        @Override
        public void close() {
            reporting = false;
            listener.close();
        }
    }

    // ---------------------------------------------------------------- caller

    /** A connection of a caller. */
    static final class Caller implements AutoCloseable {

        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Caller(String address, int timeoutMs) throws IOException {
            this(address, timeoutMs, 0);
        }

        /** Opens a connection with a small window, as that of a narrow link. */
        static Caller behindNarrowLink(String address, int timeoutMs) throws IOException {
            return new Caller(address, timeoutMs, 8_192);
        }

        private Caller(String address, int timeoutMs, int windowBytes) throws IOException {
            if (windowBytes > 0) {
                socket.setReceiveBufferSize(windowBytes);
            }
            int colon = address.lastIndexOf(':');
            socket.setTcpNoDelay(true);
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    1000);
            socket.setSoTimeout(timeoutMs);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        static byte[] request(String method, String path, Map<String, String> headers, byte[] body) {
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || !method.equals("GET")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(bytes(head.append("\r\n").toString()));
            all.writeBytes(body);
            return all.toByteArray();
        }

        Message exchange(String method, String path, Map<String, String> headers, byte[] body) throws IOException {
            out.write(request(method, path, headers, body));
            out.flush();
            return answer();
        }

        /** Reads one answer; fails if the connection ends before it is whole. */
        Message answer() throws IOException {
            Message answer = readHead(in);
            if (answer == null) {
                throw new IOException("connection closed without an answer");
            }
            answer.body = readBody(in, answer);
            return answer;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    // ------------------------------------------------------------------ node

    /** A node process, started by the line of the deploy file with settings from its template. */
    static final class Node implements AutoCloseable {

        final String name;
        final String host;
        final Map<String, Object> fields = new TreeMap<>();
        private final Journal journal;
        private final Path folder;
        private final Path settings;
        Process process;

        Node(Journal journal, Path folder, String name, String zone, String host, String service, String backend,
                String store, Map<String, Object> bounds) {
            this.journal = journal;
            this.folder = folder;
            this.name = name;
            this.host = host;
            settings = folder.resolve(name + ".json");
            fields.put("node", name);
            fields.put("zone", zone);
            fields.put("region", zone.split("-")[0]);
            fields.put("service", service);
            fields.put("appAddr", backend);
            for (String listen : List.of("outbound", "inbound", "ready", "control")) {
                fields.put("listen." + listen, host + ":" + freePort(host));
            }
            fields.put("ip", host);
            fields.put("cloudPlatform.address", store);
            fields.put("heartbeatS", 1.5);
            fields.put("bounds", bounds);
        }

        String outbound() {
            return fields.get("listen.outbound").toString();
        }

        String control() {
            return fields.get("listen.control").toString();
        }

        /** Fills in the template as the platform does. */
        void writeSettings() throws IOException {
            String text = Files.readString(Path.of("deploy/node.json.template"));
            for (Map.Entry<String, Object> field : fields.entrySet()) {
                text = text.replace("{{" + field.getKey() + "|json}}", JSON.writeValueAsString(field.getValue()));
            }
            Path draft = folder.resolve(name + ".draft");
            Files.writeString(draft, text);
            Files.move(draft, settings, java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                    java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        void start() throws IOException {
            writeSettings();
            String run = "";
            for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
                if (line.startsWith("run = ")) {
                    run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                }
            }
            ProcessBuilder builder = new ProcessBuilder(run.split(" "));
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("MIMOSAHINGE_SETTINGS", settings.toAbsolutePath().toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            journal.line("%s: started as process %d", name, process.pid());
        }

        boolean ready() {
            try (Caller caller = new Caller(fields.get("listen.ready").toString(), 1000)) {
                return caller.exchange("GET", "/readiness", Map.of("Host", host), new byte[0]).status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void signal(String signal) throws IOException {
            journal.line("%s: signal %s", name, signal);
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        void kill() {
            journal.line("%s: killed", name);
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void close() {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    // --------------------------------------------------------- configuration

    static ObjectNode resource(String type, String name) {
        ObjectNode resource = JSON.createObjectNode().put("resourceType", type);
        resource.putObject("metadata").put("name", name);
        resource.putObject("spec");
        return resource;
    }

    static ObjectNode route(String name, String host, String prefix, String kind, double timeoutS, double targetS,
            int priority, String service) {
        ObjectNode route = resource("routes", name);
        ((ObjectNode) route.path("spec")).put("host", host).put("prefix", prefix).put("kind", kind)
                .put("timeoutS", timeoutS).put("targetLatencyS", targetS).put("priority", priority)
                .put("service", service).put("maxAttempts", 2).put("noAuth", false);
        return route;
    }

    static ObjectNode service(String name, int connections) {
        ObjectNode service = resource("services", name);
        ((ObjectNode) service.path("spec")).put("healthPath", "/health").put("maxConnections", connections)
                .put("protocol", "h1").put("tls", false);
        return service;
    }

    static String config(int version, ObjectNode... resources) {
        ObjectNode config = JSON.createObjectNode().put("version", "r" + version);
        ArrayNode list = config.putArray("resources");
        for (ObjectNode resource : resources) {
            list.add(resource);
        }
        ObjectNode limits = JSON.createObjectNode().put("resourceType", "limits");
        limits.putObject("metadata");
        limits.putObject("spec").put("maxHeaderBytes", 16384).put("maxBodyBytes", 67108864).put("headerTimeoutS", 3)
                .put("idleTimeoutS", 15);
        list.add(limits);
        return config.toString();
    }

    /** Bounds of the deployment in sites/zb-matchnet.toml. */
    static Map<String, Object> smallBounds() {
        Map<String, Object> bounds = new LinkedHashMap<>();
        bounds.put("seedLagS", 3);
        bounds.put("addrReuseS", 2);
        bounds.put("contactS", 3);
        bounds.put("ackS", 4);
        bounds.put("catchUpS", 4);
        bounds.put("drainS", 2);
        bounds.put("graceS", 6);
        bounds.put("lossSlackS", 0.2);
        bounds.put("configApplyS", 2);
        bounds.put("rollbackSlackS", 0.25);
        bounds.put("maxStretchS", 5);
        bounds.put("retryBudgetRatio", 0.2);
        bounds.put("budgetWindowS", 10);
        bounds.put("retryBudgetSlack", 62);
        bounds.put("exposureShare", 0.1);
        bounds.put("exposureSlack", 50);
        bounds.put("rollbackS", 5);
        bounds.put("recoveryS", 15);
        return bounds;
    }

    private static final AtomicLong IDS = new AtomicLong(System.nanoTime());

    static String newId() {
        return String.format("%016x", IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }
}

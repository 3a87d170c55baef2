import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Stand-in of the platform's store: rows, feeds and transactions; each node has its own address. */
final class Store {

    private record Row(String table, String key, String value, long ver, boolean deleted) {}

    private final Record record;
    private final long startNanos = System.nanoTime();
    private final Map<String, Row> rows = new TreeMap<>();
    private final Map<String, HttpServer> servers = new HashMap<>();
    private final Map<String, Boolean> turnedAway = new ConcurrentHashMap<>();
    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "store");
        thread.setDaemon(true);
        return thread;
    });
    private long ver;

    Store(Record record) {
        this.record = record;
    }

    /** Returns the address at which a node reaches the store. */
    synchronized String addressFor(String node) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 100);
        server.setExecutor(executor);
        server.createContext("/", exchange -> handle(node, exchange));
        server.start();
        servers.put(node, server);
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Answers 503 to each call of a node, or serves it again. */
    void turnAway(String node, boolean away) {
        turnedAway.put(node, away);
        record.line("store " + (away ? "turns away " : "serves ") + node);
    }

    /** Writes a row as the operator or the platform does. */
    synchronized void put(String table, String key, String json) {
        apply(table, key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), false, ++ver);
        notifyAll();
        record.line("store has " + table + "/" + key + " at " + ver + " " + json);
    }

    /** Returns the content of a row as text, or null. */
    synchronized String get(String table, String key) {
        Row row = rows.get(table + '\n' + key);
        return row == null || row.deleted
                ? null
                : new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
    }

    private void apply(String table, String key, String value, boolean deleted, long at) {
        rows.put(table + '\n' + key, new Row(table, key, value, at, deleted));
    }

    private void handle(String node, HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        if (turnedAway.getOrDefault(node, false)) {
            record.line("store 503 to " + node + " " + path + " " + query.getOrDefault("tableName", ""));
            send(exchange, 503, "{}");
            return;
        }
        try {
            switch (path) {
                case "/rows-get" -> send(exchange, 200, read(query));
                case "/rows-feed" -> send(exchange, 200, feed(query));
                case "/rows-tx" -> commit(node, exchange, new String(body, StandardCharsets.UTF_8));
                default -> send(exchange, 404, "{}");
            }
        } catch (InterruptedException e) {
            exchange.close();
        }
    }

    private synchronized String read(Map<String, String> query) {
        String from = query.getOrDefault("from", "");
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        List<Row> found = new ArrayList<>();
        for (Row row : rows.values()) {
            if (row.table.equals(query.get("tableName")) && !row.deleted && row.key.compareTo(from) >= 0) {
                found.add(row);
            }
        }
        return json(found.subList(0, Math.min(limit, found.size())), found.size() > limit);
    }

    private synchronized String feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long untilMs = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        while (true) {
            List<Row> found = new ArrayList<>();
            for (Row row : rows.values()) {
                if (row.table.equals(query.get("tableName")) && row.ver > after) {
                    found.add(row);
                }
            }
            found.sort((a, b) -> Long.compare(a.ver, b.ver));
            long leftMs = untilMs - System.currentTimeMillis();
            if (!found.isEmpty() || leftMs <= 0) {
                return json(found, false);
            }
            wait(leftMs);
        }
    }

    private void commit(String node, HttpExchange exchange, String body) throws IOException {
        Map<String, Object> request = Json.object(body);
        int status;
        String answer;
        synchronized (this) {
            List<Row> failed = new ArrayList<>();
            for (Map<String, Object> entry : Json.objects(request, "precondition")) {
                Row row = rows.get(entry.get("tableName") + "\n" + entry.get("key"));
                long have = row == null || row.deleted ? 0 : row.ver;
                if (have != ((Number) entry.get("ver")).longValue()) {
                    failed.add(row == null ? new Row("", "", "", 0, true) : row);
                }
            }
            if (!failed.isEmpty()) {
                status = 412;
                answer = json(failed, false);
            } else {
                status = 200;
                ver++;
                for (Map<String, Object> entry : Json.objects(request, "put")) {
                    apply((String) entry.get("tableName"), (String) entry.get("key"), (String) entry.get("value"),
                            false, ver);
                    record.line("store 200 to " + node + " put " + entry.get("tableName") + "/" + entry.get("key")
                            + " at " + ver + " " + get((String) entry.get("tableName"), (String) entry.get("key")));
                }
                for (Map<String, Object> entry : Json.objects(request, "remove")) {
                    apply((String) entry.get("tableName"), (String) entry.get("key"), "", true, ver);
                }
                notifyAll();
                answer = "{\"ver\":" + ver + ",\"nowS\":" + nowS() + "}";
            }
        }
        send(exchange, status, answer);
    }

    private String json(List<Row> found, boolean more) {
        StringBuilder text = new StringBuilder("{\"rows\":[");
        for (Row row : found) {
            text.append(text.charAt(text.length() - 1) == '[' ? "" : ",")
                    .append("{\"tableName\":\"").append(row.table)
                    .append("\",\"part\":\"\",\"key\":\"").append(row.key)
                    .append("\",\"value\":\"").append(row.value)
                    .append("\",\"ver\":").append(row.ver)
                    .append(row.deleted ? ",\"deleted\":true}" : "}");
        }
        return text + "],\"hasMore\":" + more + ",\"ver\":" + ver + ",\"nowS\":" + nowS() + "}";
    }

    private double nowS() {
        return Math.round((System.nanoTime() - startNanos) / 1e6) / 1e3;
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            int equals = part.indexOf('=');
            query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private static void send(HttpExchange exchange, int status, String json) throws IOException {
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's metadata store: rows, transactions and the feed of changes, as PROTOCOL.md tells them. */
final class Store implements AutoCloseable {

    private record Row(String table, String key, String value, long ver, boolean deleted) {

        Map<String, Object> toJson() {
            Map<String, Object> json = new TreeMap<>();
            json.put("tableName", table);
            json.put("part", "");
            json.put("key", key);
            json.put("ver", ver);
            if (deleted) {
                json.put("deleted", true);
            } else {
                json.put("value", value);
            }
            return json;
        }
    }

    private final Map<String, Row> rows = new TreeMap<>();
    private final long startNanos = System.nanoTime();
    private final Http.Server server;
    private long ver = 100;

    Store(String host) throws IOException {
        server = new Http.Server(host, 0, this::handle);
    }

    String address() {
        return server.address();
    }

    /** Writes a row as the operator does. */
    synchronized void put(String table, String key, String text) {
        ver++;
        write(table, key, Http.base64(text), false);
        notifyAll();
    }

    /** Returns the text of a row, empty without one. */
    synchronized String get(String table, String key) {
        Row row = rows.get(table + "/" + key);
        return row == null ? "" : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
    }

    private void write(String table, String key, String value, boolean deleted) {
        rows.put(table + "/" + key, new Row(table, key, value, ver, deleted));
    }

    private Http.Response handle(Http.Request request) throws InterruptedException {
        String path = request.path();
        Map<String, String> query = request.query();
        if (path.equals("/rows-get")) {
            return read(query);
        }
        if (path.equals("/rows-feed")) {
            return feed(query.get("tableName"), Long.parseLong(query.get("after")), Long.parseLong(query.get("waitMs")));
        }
        if (path.equals("/rows-tx")) {
            return commit(Json.object(new String(request.body(), StandardCharsets.UTF_8)));
        }
        return Http.Response.json(404, "{}");
    }

    private synchronized Http.Response read(Map<String, String> query) {
        String from = query.getOrDefault("from", "");
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        List<Object> found = new ArrayList<>();
        for (Row row : rows.values()) {
            if (row.table().equals(query.get("tableName"))
                    && !row.deleted()
                    && row.key().compareTo(from) >= 0
                    && found.size() < limit) {
                found.add(row.toJson());
            }
        }
        return answer(200, found);
    }

    private synchronized Http.Response feed(String table, long after, long waitMs) throws InterruptedException {
        long endNanos = System.nanoTime() + waitMs * 1_000_000;
        while (true) {
            List<Row> changed = new ArrayList<>();
            for (Row row : rows.values()) {
                if (row.table().equals(table) && row.ver() > after) {
                    changed.add(row);
                }
            }
            long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || leftMs <= 0) {
                changed.sort((a, b) -> Long.compare(a.ver(), b.ver()));
                List<Object> found = new ArrayList<>();
                changed.forEach(row -> found.add(row.toJson()));
                return answer(200, found);
            }
            wait(leftMs);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Response commit(Map<String, Object> body) {
        List<Object> failed = new ArrayList<>();
        boolean holds = true;
        for (Object entry : (List<Object>) body.getOrDefault("precondition", List.of())) {
            Map<String, Object> condition = (Map<String, Object>) entry;
            Row row = rows.get(condition.get("tableName") + "/" + condition.get("key"));
            long current = row == null || row.deleted() ? 0 : row.ver();
            if (current != ((Number) condition.get("ver")).longValue()) {
                holds = false;
            }
            if (row != null && !row.deleted()) {
                failed.add(row.toJson());
            }
        }
        if (!holds) {
            return answer(412, failed);
        }
        ver++;
        for (Object entry : (List<Object>) body.getOrDefault("put", List.of())) {
            Map<String, Object> row = (Map<String, Object>) entry;
            write((String) row.get("tableName"), (String) row.get("key"), (String) row.get("value"), false);
        }
        for (Object entry : (List<Object>) body.getOrDefault("remove", List.of())) {
            Map<String, Object> row = (Map<String, Object>) entry;
            write((String) row.get("tableName"), (String) row.get("key"), "", true);
        }
        notifyAll();
        return answer(200, null);
    }

    private Http.Response answer(int status, List<Object> found) {
        Map<String, Object> json = new HashMap<>();
        if (found != null) {
            json.put("rows", found);
            json.put("hasMore", false);
        }
        json.put("ver", ver);
        json.put("nowS", (System.nanoTime() - startNanos) / 1e9);
        return Http.Response.json(status, Json.text(json));
    }

    @Override
    public void close() {
        server.close();
    }
}

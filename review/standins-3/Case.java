import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;

/** A case: starts the stand-ins and the project's processes, and exits with 0 (held), 1 (broken) or 2 (could not run). */
abstract class Case {

    /** A case may run for 120 s. */
    private static final long LIMIT_MS = 110_000;

    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    private final Deque<AutoCloseable> open = new ArrayDeque<>();
    protected Record record;
    protected Path folder;
    protected boolean trouble;

    /** Runs the case and returns what broke the rule, one text for each breach. */
    abstract List<String> run() throws Exception;

    protected <T extends AutoCloseable> T use(T resource) {
        open.push(resource);
        return resource;
    }

    static void main(Case current, String recordFolder) {
        int code = NOT_RUN;
        try (Record record = new Record(Path.of(recordFolder, "record.txt"))) {
            current.record = record;
            current.folder = Files.createTempDirectory("review");
            current.trouble = !"0".equals(System.getenv("TROUBLE"));
            Runtime.getRuntime().addShutdownHook(new Thread(current::closeAll));
            Thread limit = new Thread(() -> endAfterLimit(current));
            limit.setDaemon(true);
            limit.start();
            record.add("case", "trouble", current.trouble);
            List<String> breaches = current.run();
            breaches.forEach(text -> record.add("breach", "text", text));
            code = breaches.isEmpty() ? HELD : BROKEN;
            record.add("result", "breaches", breaches.size(), "exit", code);
            System.out.println(
                    breaches.isEmpty() ? "held" : "broken: " + breaches.size() + ", first: " + breaches.get(0));
        } catch (Throwable e) {
            // An error must not end with the code of a broken rule.
            code = NOT_RUN;
            System.out.println("could not run: " + e);
        }
        current.closeAll();
        current.deleteLogs();
        Runtime.getRuntime().halt(code);
    }

    private static void endAfterLimit(Case current) {
        try {
            Thread.sleep(LIMIT_MS);
        } catch (InterruptedException e) {
            return;
        }
        System.out.println("could not run: over the time limit");
        current.closeAll();
        Runtime.getRuntime().halt(NOT_RUN);
    }

    private synchronized void closeAll() {
        while (!open.isEmpty()) {
            try {
                open.pop().close();
            } catch (Exception e) {
                System.out.println("not closed: " + e);
            }
        }
    }

    private void deleteLogs() {
        if (folder == null) {
            return;
        }
        if (System.getenv("KEEP") != null) {
            System.out.println("logs in " + folder);
            return;
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(folder);
        } catch (IOException e) {
            System.out.println("not deleted: " + e);
        }
    }

    /** Sends a client's request to a machine and records it with its answer; returns the status, 0 without an answer. */
    protected int call(Machine machine, String method, String host, String target, long deadlineMs) {
        return call(machine, method, host, target, deadlineMs, Map.of(), "");
    }

    protected int call(
            Machine machine,
            String method,
            String host,
            String target,
            long deadlineMs,
            Map<String, String> moreHeaders,
            String body) {
        String id = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
        record.add("sent", "machine", machine.name(), "request", id, "target", target);
        int status = 0;
        String signature = "";
        try {
            Map<String, String> headers = new TreeMap<>(moreHeaders);
            headers.put("Host", host);
            headers.put("X-Request-Id", id);
            headers.put("X-Deadline-Ms", String.valueOf(deadlineMs));
            Http.Request request =
                    new Http.Request(method, target, headers, body.getBytes(StandardCharsets.UTF_8));
            Http.Response response = Http.send(machine.outbound(), request, (int) deadlineMs);
            status = response.status();
            signature = response.header("X-Response-Signature");
        } catch (Exception e) {
            record.add("no_answer", "request", id, "reason", e.getMessage());
        }
        record.add("answer", "request", id, "status", status, "signature", signature);
        return status;
    }

    protected static Map<String, Object> route(
            String name,
            String host,
            String prefix,
            String kind,
            String service,
            double targetS,
            double timeoutS,
            int maxAttempts) {
        return Map.of(
                "resourceType", "routes",
                "metadata", Map.of("name", name),
                "spec",
                        Map.of(
                                "host", host,
                                "prefix", prefix,
                                "kind", kind,
                                "timeoutS", timeoutS,
                                "targetLatencyS", targetS,
                                "priority", 1,
                                "service", service,
                                "maxAttempts", maxAttempts));
    }

    protected static Map<String, Object> service(String name) {
        return Map.of(
                "resourceType", "services",
                "metadata", Map.of("name", name),
                "spec", Map.of("healthPath", "/health", "maxConnections", 130, "protocol", "h1", "tls", false));
    }

    protected static String config(String version, List<Map<String, Object>> resources) {
        List<Map<String, Object>> all = new ArrayList<>(resources);
        all.add(Map.of(
                "resourceType", "limits",
                "metadata", Map.of(),
                "spec",
                        Map.of(
                                "maxHeaderBytes", 16384,
                                "maxBodyBytes", 67108864,
                                "headerTimeoutS", 3,
                                "idleTimeoutS", 15)));
        return Json.text(Map.of("version", version, "resources", all));
    }
}

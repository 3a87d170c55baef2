import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment: a store, and nodes with an endpoint beside each of them. */
final class Deployment implements AutoCloseable {

    static final String HOST = "members.example";

    final Record record;
    final Store store;
    final List<Node> nodes = new ArrayList<>();
    final List<Endpoint> endpoints = new ArrayList<>();
    private final Path folder;
    private final Path repository;
    private long requests;

    Deployment(Record record, Path repository) throws IOException {
        this.record = record;
        this.repository = repository;
        folder = Files.createTempDirectory("review");
        store = new Store(record);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Adds a node and its endpoint; zones and regions alternate as on a small site. */
    void add(String service) throws IOException {
        int index = nodes.size() + 1;
        boolean west = index % 2 == 1;
        String name = "sidecar-" + (west ? "lausanne-a-" : "zurich-a-") + index;
        Node node = new Node(record, repository, folder, store.addressFor(name), name, "127.0.1." + index,
                west ? "lausanne-a" : "zurich-a", west ? "ch-west" : "ch-east");
        node.writeSettings(service);
        nodes.add(node);
        endpoints.add(new Endpoint(record, node, node.backend, service, 1.5));
    }

    /** Writes a configuration with one route for each service. */
    void configure(String version, String... routes) {
        store.put("op", "config", "{\"version\":\"" + version + "\",\"resources\":[" + String.join(",", routes)
                + ",{\"resourceType\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":"
                + "67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}]}");
    }

    static String route(String name, String prefix, String kind, String service, double timeoutS) {
        return "{\"resourceType\":\"routes\",\"metadata\":{\"name\":\"" + name + "\"},\"spec\":{\"host\":\"" + HOST
                + "\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind + "\",\"timeoutS\":" + timeoutS
                + ",\"targetLatencyS\":0.4,\"priority\":1,\"service\":\"" + service + "\",\"maxAttempts\":2}}";
    }

    static String service(String name) {
        return "{\"resourceType\":\"services\",\"metadata\":{\"name\":\"" + name
                + "\"},\"spec\":{\"healthPath\":\"/health\",\"maxConnections\":130,\"protocol\":\"h1\",\"tls\":false}}";
    }

    /** Starts all processes and endpoints and waits until all nodes are ready and know all endpoints. */
    void start(String service) throws IOException, InterruptedException {
        for (Endpoint endpoint : endpoints) {
            endpoint.start(service);
        }
        for (Node node : nodes) {
            node.start();
        }
        for (Node node : nodes) {
            awaitReady(node);
        }
        sleep(4);
        for (Endpoint endpoint : endpoints) {
            endpoint.report();
        }
        sleep(1);
    }

    void awaitReady(Node node) throws InterruptedException {
        double limit = record.seconds() + 20;
        while (!node.ready()) {
            if (record.seconds() > limit || !node.alive()) {
                throw new IllegalStateException(node.name + " does not become ready");
            }
            Thread.sleep(50);
        }
        record.line(node.name + " is ready");
    }

    synchronized String nextRequestId() {
        return String.format("%016x", 0x5e11_0000_0000L + ++requests);
    }

    static void sleep(double seconds) throws InterruptedException {
        Thread.sleep((long) (seconds * 1_000));
    }

    @Override
    public void close() {
        nodes.forEach(Node::end);
        try (Stream<Path> files = Files.walk(folder)) {
            String keep = System.getenv("KEEP_LOGS");
            if (keep != null) {
                Path target = Files.createDirectories(Path.of(keep));
                for (Node node : nodes) {
                    Path log = folder.resolve(node.name + ".log");
                    if (Files.exists(log)) {
                        Files.copy(log, target.resolve(node.name + ".log"),
                                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                    }
                }
            }
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | java.io.UncheckedIOException e) {
            // The folder was already removed.
        }
    }
}

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A small deployment: a store, and nodes with a backend server each. Ends all that it started when it is closed. */
final class Deployment implements AutoCloseable {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    final Kit.Journal journal;
    final Kit.Store store;
    final List<Kit.Node> nodes = new ArrayList<>();
    final List<Kit.Backend> backends = new ArrayList<>();
    private final Path folder;
    private final Map<String, Object> bounds;

    /** First three parts of the nodes' addresses; they differ between runs, as the metrics port of a node is fixed. */
    private final String network = "127." + (40 + (int) (ProcessHandle.current().pid() % 200)) + "."
            + (int) (System.nanoTime() / 1000 % 250);

    /** What a case does with a deployment; returns its exit code. */
    interface Script {
        int run(Deployment deployment, boolean trouble) throws Exception;
    }

    private Deployment(Kit.Journal journal, Path folder, Map<String, Object> bounds) throws IOException {
        this.journal = journal;
        this.folder = folder;
        this.bounds = bounds;
        store = new Kit.Store(journal);
    }

    /** Runs a script; the arguments are the folder of the case and "0" to leave the disruption out. */
    static void main(String[] args, Map<String, Object> bounds, Script script) throws Exception {
        boolean trouble = !args[1].equals("0");
        Path folder = Files.createTempDirectory("review-2");
        int code = COULD_NOT_RUN;
        try (Kit.Journal journal = new Kit.Journal(Path.of(args[0], "record.txt"));
                Deployment deployment = new Deployment(journal, folder, bounds)) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> deployment.nodes.forEach(Kit.Node::close)));
            journal.say("disruption: %s", trouble ? "yes" : "no");
            try {
                code = script.run(deployment, trouble);
            } catch (Exception e) {
                journal.say("could not run: %s", e);
                e.printStackTrace();
            }
            journal.say("exit code %d", code);
            if (System.getenv("KEEP") != null) {
                Path logs = Files.createDirectories(Path.of(System.getenv("KEEP")));
                try (Stream<Path> files = Files.list(folder)) {
                    for (Path file : files.toList()) {
                        Files.copy(file, logs.resolve(file.getFileName()),
                                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                    }
                }
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
        System.exit(code);
    }

    /** Adds a node with its backend server, which reports from the start; the node is not started. */
    Kit.Node add(String zone, String service, Kit.Work work) throws IOException {
        int number = nodes.size() + 1;
        String host = network + "." + number;
        Kit.Backend backend = new Kit.Backend(journal, "i-" + service + number, service, zone, host, 0, work);
        backends.add(backend);
        Kit.Node node = new Kit.Node(
                journal, folder, "sidecar-" + number, zone, host, service, backend.address(), store.address(), bounds);
        nodes.add(node);
        return node;
    }

    /** Writes the first configuration, starts everything and waits until all nodes are ready and know all endpoints. */
    boolean start(ObjectNode... resources) throws IOException {
        store.operatorPuts("config", Kit.config(1, resources));
        for (Kit.Node node : nodes) {
            node.start();
        }
        for (int i = 0; i < nodes.size(); i++) {
            backends.get(i).report(nodes.get(i).control(), 1.5);
        }
        boolean ready = Kit.await(20, () -> nodes.stream().allMatch(Kit.Node::ready));
        journal.line("all nodes ready: %s", ready);
        Kit.sleep(4);
        return ready;
    }

    @Override
    public void close() {
        nodes.forEach(Kit.Node::close);
        backends.forEach(Kit.Backend::close);
        store.close();
    }
}

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Many users come at once while a version is brought in that turns bad three seconds after its order. */
final class BurstCase extends Case {

    private static final String ADDRESS = "127.0.14.1";
    private static final long HEARTBEAT_MS = 870;
    /** Longer than contactS, so that all machines are in touch. */
    private static final long CALM_MS = 5_000;

    private static final int DURATION_S = 15;
    private static final long BAD_AFTER_MS = 3_000;
    private static final double FAILING_SHARE = 0.3;
    private static final double EXPOSURE_SHARE = 0.1;
    private static final int EXPOSURE_SLACK = 50;

    /** Slots, work, aim, timeout and deadline of the listings on the sheet of the radio mesh. */
    private static final int SLOTS = 6;

    private static final long WORK_MS = 210;
    private static final double TARGET_S = 0.503;
    private static final double TIMEOUT_S = 4.024;
    private static final long DEADLINE_MS = 4_024;

    private static final int ENDPOINTS = 3;
    /** Nine tenths of what the endpoints of the old version can run. */
    private static final double REQUESTS_PER_S = 0.9 * ENDPOINTS * SLOTS * 1_000 / WORK_MS;

    private static final double BURST = 2.3;
    private static final long BURST_MS = 6_000;
    private static final int BODY_BYTES = 5_000;
    private static final String HOST = "radio.example";

    private final ExecutorService clients = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private final List<Machine> machines = new ArrayList<>();
    private volatile double requestsPerS = REQUESTS_PER_S;
    private volatile boolean stopped;
    private Store store;

    public static void main(String[] args) {
        main(new BurstCase(), args[0]);
    }

    @Override
    List<String> run() throws Exception {
        store = use(new Store(ADDRESS));
        store.put("op", "config", config("r7", List.of(
                route("r-listing", HOST, "/listing/", "idempotent", "catalogue", TARGET_S, TIMEOUT_S, 2),
                service("catalogue"))));
        List<Endpoint> bad = new ArrayList<>();
        for (int i = 1; i <= ENDPOINTS; i++) {
            endpoint("v1", i);
        }
        for (Machine machine : machines) {
            machine.awaitReady();
        }
        Thread.sleep(CALM_MS);
        Thread traffic = new Thread(this::send);
        traffic.setDaemon(true);
        traffic.start();
        Thread.sleep(CALM_MS);
        // The endpoints of the new version are started alongside the old ones.
        for (int i = 1; i <= ENDPOINTS; i++) {
            bad.add(endpoint("v2", i));
        }
        for (Machine machine : machines) {
            machine.awaitReady();
        }
        store.put("op", "rollout/catalogue",
                Json.text(Map.of("service", "catalogue", "to", "v2", "durationS", DURATION_S)));
        long orderedMs = record.nowMs();
        record.add("ordered", "to", "v2");
        if (trouble) {
            requestsPerS = BURST * REQUESTS_PER_S;
        }
        Thread.sleep(BAD_AFTER_MS);
        bad.forEach(endpoint -> endpoint.with("v2", FAILING_SHARE, BODY_BYTES));
        record.add("turns_bad", "version", "v2");
        Thread.sleep(BURST_MS - BAD_AFTER_MS);
        requestsPerS = REQUESTS_PER_S;
        Thread.sleep(Math.max(0, orderedMs + DURATION_S * 1_000 - record.nowMs()));
        stopped = true;
        clients.shutdown();
        clients.awaitTermination(2 * DEADLINE_MS, TimeUnit.MILLISECONDS);
        return breaches(orderedMs);
    }

    private List<String> breaches(long orderedMs) {
        long deadlineMs = orderedMs + DURATION_S * 1_000;
        Set<String> reached = new HashSet<>();
        Set<String> exposed = new HashSet<>();
        for (Record.Event arrival : record.events("arrival")) {
            if (arrival.ms() >= orderedMs && arrival.ms() <= deadlineMs) {
                reached.add(arrival.get("request"));
                if (arrival.get("endpoint").startsWith("i-v2")) {
                    exposed.add(arrival.get("request"));
                }
            }
        }
        String status = store.get("status", "rollout/catalogue");
        record.add("exposed", "bad", exposed.size(), "of", reached.size(), "status", status);
        if (exposed.size() > EXPOSURE_SHARE * reached.size() + EXPOSURE_SLACK) {
            return List.of("the bad version gets " + exposed.size() + " of " + reached.size() + " requests");
        }
        return List.of();
    }

    /** Starts a machine with an endpoint beside its node. */
    private Endpoint endpoint(String version, int number) throws Exception {
        String zone = "zone-" + number;
        Machine machine =
                use(new Machine(folder, "sidecar-" + version + "-" + number, ADDRESS, zone, "catalogue", store.address(),
                        record));
        Endpoint endpoint = use(new Endpoint("i-" + version + "-" + number, "catalogue", zone, ADDRESS,
                        machine.appPort(), SLOTS, path -> WORK_MS, record))
                .with(version, 0, BODY_BYTES)
                .reportTo(machine.control(), HEARTBEAT_MS);
        machine.start();
        machines.add(machine);
        return endpoint;
    }

    /** Sends requests at a steady rate to the machines of the old version in turn, whatever the answers are. */
    private void send() {
        long nextNanos = System.nanoTime();
        for (int i = 0; !stopped; i++) {
            Machine machine = machines.get(i % ENDPOINTS);
            String target = "/listing/" + i;
            clients.execute(() -> call(machine, "GET", HOST, target, DEADLINE_MS));
            nextNanos += (long) (1e9 / requestsPerS);
            try {
                TimeUnit.NANOSECONDS.sleep(Math.max(0, nextNanos - System.nanoTime()));
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}

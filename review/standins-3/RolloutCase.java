import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/** A bad version is rolled back and the next one is ordered while the bad endpoints are still there. */
final class RolloutCase extends Case {

    private static final long HEARTBEAT_MS = 870;
    /** Longer than contactS, so that all machines are in touch. */
    private static final long CALM_MS = 5_000;

    private static final int DURATION_S = 16;
    /** After 'rolled_back' the platform drains the new endpoints some seconds later. */
    private static final long DRAIN_AFTER_MS = 4_000;

    private static final long NEXT_ORDER_AFTER_MS = 500;
    private static final double EXPOSURE_SHARE = 0.1;
    private static final int EXPOSURE_SLACK = 50;
    private static final int CLIENTS = 12;
    private static final long PAUSE_MS = 50;
    private static final int BODY_BYTES = 20_000;
    private static final long WORK_MS = 30;
    private static final long DEADLINE_MS = 1_500;
    private static final String HOST = "wax.example";

    private final AtomicBoolean stopped = new AtomicBoolean();
    private Store store;

    public static void main(String[] args) {
        main(new RolloutCase(), args[0]);
    }

    @Override
    List<String> run() throws Exception {
        store = use(new Store("127.0.13.1"));
        store.put("op", "config", config("r7", List.of(
                route("r-page", HOST, "/page/", "idempotent", "storefront", 0.4, 0.8, 2),
                service("storefront"),
                service("orders"))));
        Machine callers = machine("sidecar-a-1", "zone-a", "region-1", "orders");
        use(new Endpoint("i-orders", "orders", "zone-a", "127.0.13.1", callers.appPort(), 12, path -> WORK_MS, record))
                .reportTo(callers.control(), HEARTBEAT_MS);
        Machine old = machine("sidecar-b-1", "zone-b", "region-2", "storefront");
        endpoint("i-v1", "zone-b", old, "v1", 0);
        callers.start().awaitReady();
        old.start().awaitReady();
        Thread.sleep(CALM_MS);
        for (int i = 0; i < CLIENTS; i++) {
            Thread client = new Thread(() -> read(callers));
            client.setDaemon(true);
            client.start();
        }
        Thread.sleep(2_000);
        // The endpoints of the new version are started alongside the old ones.
        Machine bad = machine("sidecar-a-2", "zone-a", "region-1", "storefront");
        Endpoint badEndpoint = endpoint("i-v2", "zone-a", bad, "v2", 0.5);
        bad.start().awaitReady();
        order("v2");
        long orderedMs = record.nowMs();
        while (!state().equals("rolled_back")) {
            if (record.nowMs() - orderedMs > DURATION_S * 1_000) {
                throw new IllegalStateException("the bad version is not rolled back: " + state());
            }
            Thread.sleep(50);
        }
        long rolledBackMs = record.nowMs();
        record.add("rolled_back", "after_ms", rolledBackMs - orderedMs);
        if (trouble) {
            Thread.sleep(NEXT_ORDER_AFTER_MS);
            Machine next = machine("sidecar-b-2", "zone-b", "region-2", "storefront");
            endpoint("i-v3", "zone-b", next, "v3", 0);
            next.start();
            order("v3");
        }
        Thread.sleep(Math.max(0, rolledBackMs + DRAIN_AFTER_MS - record.nowMs()));
        badEndpoint.drain(bad.control());
        Thread.sleep(Math.max(0, orderedMs + DURATION_S * 1_000 - record.nowMs()));
        stopped.set(true);
        Thread.sleep(DEADLINE_MS);
        return breaches(orderedMs, rolledBackMs);
    }

    private List<String> breaches(long orderedMs, long rolledBackMs) {
        long deadlineMs = orderedMs + DURATION_S * 1_000;
        int all = 0;
        int exposed = 0;
        int afterRollback = 0;
        List<Record.Event> arrivals = record.events("arrival");
        for (Record.Event sent : record.events("sent")) {
            if (sent.ms() < orderedMs || sent.ms() > deadlineMs) {
                continue;
            }
            all++;
            boolean atBad = arrivals.stream()
                    .anyMatch(event -> event.get("endpoint").equals("i-v2")
                            && event.get("request").equals(sent.get("request")));
            exposed += atBad ? 1 : 0;
            afterRollback += atBad && sent.ms() > rolledBackMs + 1_000 ? 1 : 0;
        }
        record.add("exposed", "bad", exposed, "of", all, "sent_1s_after_rollback", afterRollback);
        List<String> breaches = new ArrayList<>();
        if (exposed > EXPOSURE_SHARE * all + EXPOSURE_SLACK) {
            breaches.add("the bad version gets " + exposed + " of " + all + " requests, " + afterRollback
                    + " of them sent more than a second after its roll-back");
        }
        return breaches;
    }

    private Machine machine(String name, String zone, String region, String service) throws Exception {
        Machine machine = use(new Machine(folder, name, "127.0.13.1", zone, service, store.address(), record));
        machine.change("region", region);
        return machine;
    }

    private Endpoint endpoint(String id, String zone, Machine machine, String version, double failingShare)
            throws Exception {
        return use(new Endpoint(id, "storefront", zone, "127.0.13.1", machine.appPort(), 12, path -> WORK_MS, record))
                .with(version, failingShare, BODY_BYTES)
                .reportTo(machine.control(), HEARTBEAT_MS);
    }

    private void order(String version) {
        store.put("op", "rollout/storefront",
                Json.text(Map.of("service", "storefront", "to", version, "durationS", DURATION_S)));
        record.add("ordered", "to", version);
    }

    private String state() {
        String status = store.get("status", "rollout/storefront");
        return status.isEmpty() ? "" : (String) Json.object(status).get("state");
    }

    private void read(Machine callers) {
        while (!stopped.get()) {
            call(callers, "GET", HOST, "/page/" + record.nowMs(), DEADLINE_MS);
            try {
                Thread.sleep(PAUSE_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}

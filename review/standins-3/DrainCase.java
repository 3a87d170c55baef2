import java.util.ArrayList;
import java.util.List;

/** An endpoint leaves while calls wait for it: those that reach it later than drainS after its acknowledgement. */
final class DrainCase extends Case {

    private static final long DRAIN_MS = 2_000;
    private static final long HEARTBEAT_MS = 870;
    /** Longer than contactS, so that both machines are in touch. */
    private static final long CALM_MS = 5_000;

    private static final int CALLS = 60;
    private static final String HOST = "reports.example";

    public static void main(String[] args) {
        main(new DrainCase(), args[0]);
    }

    @Override
    List<String> run() throws Exception {
        Store store = use(new Store("127.0.14.1"));
        store.put("op", "config", config("r7", List.of(
                route("r-report", HOST, "/report/", "non_idempotent", "reports", 3.008, 10.026, 2),
                service("reports"),
                service("shop"))));
        Machine callers = use(new Machine(folder, "sidecar-a-1", "127.0.14.1", "zone-a", "shop", store.address(), record));
        Machine servers =
                use(new Machine(folder, "sidecar-b-1", "127.0.14.1", "zone-b", "reports", store.address(), record));
        Endpoint shop = use(new Endpoint("i-shop", "shop", "zone-a", "127.0.14.1", callers.appPort(), 6, path -> 20, record));
        Endpoint reports =
                use(new Endpoint("i-reports", "reports", "zone-b", "127.0.14.1", servers.appPort(), 4, path -> 200, record));
        callers.start();
        servers.start();
        shop.reportTo(callers.control(), HEARTBEAT_MS);
        reports.reportTo(servers.control(), HEARTBEAT_MS);
        callers.awaitReady();
        servers.awaitReady();
        long endMs = record.nowMs() + 10_000;
        while (call(callers, "POST", HOST, "/report/warm", 3_000) != 200) {
            if (record.nowMs() > endMs) {
                throw new IllegalStateException("the endpoint gets no calls");
            }
            Thread.sleep(200);
        }
        Thread.sleep(CALM_MS);
        // The work of a call is then known.
        for (int i = 0; i < 12; i++) {
            call(callers, "POST", HOST, "/report/calm" + i, 10_026);
        }
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            String target = "/report/" + i;
            Thread client = new Thread(() -> call(callers, "POST", HOST, target, 10_026));
            client.start();
            clients.add(client);
        }
        Thread.sleep(50);
        if (trouble) {
            reports.drain(servers.control());
        }
        for (Thread client : clients) {
            client.join();
        }
        List<String> breaches = new ArrayList<>();
        long acknowledgedMs = reports.leaveAcknowledgedMs();
        if (trouble && acknowledgedMs < 0) {
            throw new IllegalStateException("no acknowledgement");
        }
        for (Record.Event arrival : record.events("arrival")) {
            if (acknowledgedMs >= 0 && arrival.ms() - acknowledgedMs > DRAIN_MS) {
                breaches.add("request " + arrival.get("request") + " reaches the endpoint "
                        + (arrival.ms() - acknowledgedMs) + " ms after the acknowledgement");
            }
        }
        return breaches;
    }
}

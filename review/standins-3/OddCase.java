import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** One heartbeat whose id has bytes that can't be read: the endpoint that is there must stay in use. */
final class OddCase extends Case {

    private static final long HEARTBEAT_MS = 870;
    /** Longer than contactS, so that all machines are in touch. */
    private static final long CALM_MS = 5_000;

    private static final int REQUESTS = 60;
    private static final long DEADLINE_MS = 2_000;
    private static final String HOST = "wax.example";
    private static final String UNREADABLE_ID = "i-%ff%fe";

    public static void main(String[] args) throws Exception {
        main(new OddCase(), args[0]);
    }

    @Override
    List<String> run() throws Exception {
        Store store = use(new Store("127.0.0.1"));
        store.put("op", "config", config("r7", List.of(
                route("r-order", HOST, "/order/", "non_idempotent", "orders", 0.5, 1, 2),
                route("r-page", HOST, "/page/", "idempotent", "storefront", 0.4, 0.8, 2),
                service("orders"),
                service("storefront"))));
        Machine pages =
                use(new Machine(folder, "sidecar-a-1", "127.0.0.1", "zone-a", "storefront", store.address(), record));
        Machine orders =
                use(new Machine(folder, "sidecar-b-1", "127.0.0.1", "zone-b", "orders", store.address(), record));
        use(new Endpoint("i-page", "storefront", "zone-a", "127.0.0.1", pages.appPort(), 6, path -> 20, record))
                .reportTo(pages.control(), HEARTBEAT_MS);
        use(new Endpoint("i-order", "orders", "zone-b", "127.0.0.1", orders.appPort(), 6, path -> 20, record))
                .reportTo(orders.control(), HEARTBEAT_MS);
        pages.start();
        orders.start();
        pages.awaitReady();
        orders.awaitReady();
        Thread.sleep(CALM_MS);
        if (trouble) {
            sendOddHeartbeat(orders);
        }
        // Several heartbeats of the endpoint that is there follow.
        Thread.sleep(2 * CALM_MS);
        int servedOrders = 0;
        int servedPages = 0;
        for (int i = 0; i < REQUESTS; i++) {
            servedOrders += call(pages, "POST", HOST, "/order/" + i, DEADLINE_MS) == 200 ? 1 : 0;
            servedPages += call(pages, "GET", HOST, "/page/" + i, DEADLINE_MS) == 200 ? 1 : 0;
            Thread.sleep(100);
        }
        record.add("served", "orders", servedOrders, "pages", servedPages, "of", REQUESTS);
        double servedOfAll = (servedOrders + servedPages) / (2.0 * REQUESTS);
        List<String> breaches = new ArrayList<>();
        if (servedOrders / (double) REQUESTS < servedOfAll / 4) {
            breaches.add("orders: " + servedOrders + " of " + REQUESTS + " served; all requests: "
                    + (servedOrders + servedPages) + " of " + 2 * REQUESTS);
        }
        return breaches;
    }

    /** A heartbeat of another writer, like a sound one but for its id. */
    private void sendOddHeartbeat(Machine machine) throws Exception {
        Map<String, Object> body = new TreeMap<>();
        body.put("service", "orders");
        body.put("address", machine.host() + ":" + machine.appPort());
        body.put("zone", "zone-b");
        body.put("version", "v1");
        body.put("slots", 6);
        body.put("state", "ready");
        body.put("coldLeftS", 0);
        body.put("seq", 1);
        body.put("born", System.currentTimeMillis());
        int status = Http.send(
                        machine.control(),
                        new Http.Request(
                                "POST",
                                "/instances/" + UNREADABLE_ID + "/heartbeat",
                                Map.of("Content-Type", "application/json", "Host", machine.control()),
                                Json.text(body).getBytes(StandardCharsets.UTF_8)),
                        1_000)
                .status();
        record.add("odd_heartbeat", "machine", machine.name(), "id", UNREADABLE_ID, "status", status);
    }
}

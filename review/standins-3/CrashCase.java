import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * One endpoint crashes once while it runs two equal requests of a route that was added later: requests like them must be
 * served again afterwards, as those of the first route are.
 */
final class CrashCase extends Case {

    private static final long HEARTBEAT_MS = 870;
    /** Longer than contactS, so that all machines are in touch. */
    private static final long CALM_MS = 5_000;

    /** Mean work of an order and the time that a crashed endpoint is down, as the sheet and the site file have them. */
    private static final long WORK_MS = 160;

    private static final long DOWN_MS = 4_500;
    private static final long DEADLINE_MS = 2_000;
    private static final int MAX_PAIRS = 10;
    private static final int ROUNDS = 60;
    private static final long ROUND_MS = 500;
    private static final String HOST = "wax.example";
    /** The rider is known by the cookie, which differs from request to request. */
    private static final String BODY = "{\"refill\":\"standard\"}";

    private int riders;

    public static void main(String[] args) {
        main(new CrashCase(), args[0]);
    }

    @Override
    List<String> run() throws Exception {
        Store store = use(new Store("127.0.15.1"));
        Map<String, Object> pages = route("r-page", HOST, "/page/", "idempotent", "storefront", 0.4, 0.8, 2);
        Map<String, Object> orders = route("r-order", HOST, "/order/", "non_idempotent", "orders", 0.5, 1, 2);
        store.put("op", "config", config("r7", List.of(pages, service("orders"), service("storefront"))));
        Machine callers = machine("sidecar-a-1", "zone-a", "region-1", "storefront", store);
        Machine near = machine("sidecar-a-2", "zone-a", "region-1", "orders", store);
        Machine far = machine("sidecar-b-1", "zone-b", "region-2", "orders", store);
        endpoint("i-page", "storefront", "zone-a", callers);
        Endpoint first = endpoint("i-order-1", "orders", "zone-a", near);
        endpoint("i-order-2", "orders", "zone-b", far);
        List<Machine> machines = List.of(callers, near, far);
        for (Machine machine : machines) {
            machine.start();
        }
        for (Machine machine : machines) {
            machine.awaitReady();
        }
        Thread.sleep(CALM_MS);
        store.put("op", "config", config("r8", List.of(pages, orders, service("orders"), service("storefront"))));
        record.add("route_added", "route", "r-order", "version", "r8");
        Thread.sleep(CALM_MS);
        for (int i = 0; i < 6; i++) {
            order(callers);
            page(callers);
        }
        // Two riders order at the same moment, until one endpoint runs both.
        boolean both = false;
        for (int i = 0; i < MAX_PAIRS && !both; i++) {
            Thread one = new Thread(() -> order(callers));
            Thread other = new Thread(() -> order(callers));
            one.start();
            other.start();
            Thread.sleep(WORK_MS / 2);
            both = first.running() == 2;
            if (both && trouble) {
                first.crash();
            }
            one.join();
            other.join();
        }
        if (!both) {
            throw new IllegalStateException("no endpoint runs two orders at once");
        }
        if (trouble) {
            Thread.sleep(DOWN_MS);
            endpoint("i-order-3", "orders", "zone-a", near);
        }
        Thread.sleep(CALM_MS);
        // All endpoints are back; one rider after the other orders, at each machine in turn.
        int ordersServed = 0;
        int pagesServed = 0;
        for (int i = 0; i < ROUNDS; i++) {
            Machine machine = machines.get(i % machines.size());
            ordersServed += order(machine) == 200 ? 1 : 0;
            pagesServed += page(machine) == 200 ? 1 : 0;
            Thread.sleep(ROUND_MS);
        }
        record.add("served", "orders", ordersServed, "pages", pagesServed, "of", ROUNDS);
        List<String> breaches = new ArrayList<>();
        if (ordersServed < pagesServed / 4.0) {
            breaches.add("CONFIG, orders: " + ordersServed + " of " + ROUNDS + " served; pages: " + pagesServed);
        }
        return breaches;
    }

    private Machine machine(String name, String zone, String region, String service, Store store) throws Exception {
        Machine machine = use(new Machine(folder, name, "127.0.15.1", zone, service, store.address(), record));
        machine.change("region", region);
        return machine;
    }

    private Endpoint endpoint(String id, String service, String zone, Machine machine) throws Exception {
        return use(new Endpoint(id, service, zone, "127.0.15.1", machine.appPort(), 12, path -> WORK_MS, record))
                .reportTo(machine.control(), HEARTBEAT_MS);
    }

    private int order(Machine machine) {
        return call(machine, "POST", HOST, "/order/refill", DEADLINE_MS, Map.of("Cookie", "rider=" + nextRider()), BODY);
    }

    private synchronized int nextRider() {
        return ++riders;
    }

    private int page(Machine machine) {
        return call(machine, "GET", HOST, "/page/today", DEADLINE_MS);
    }
}

import java.util.ArrayList;
import java.util.List;

/** The address of an endpoint goes to another service, and the settings file of its machine changes without a signal. */
final class CallerCase extends Case {

    private static final long HEARTBEAT_MS = 870;
    /** Longer than contactS, so that both machines are in touch. */
    private static final long CALM_MS = 4_000;

    private static final long ADDRESS_REUSE_MS = 2_000;
    /** Ten times configApplyS, since the pages state no time within which a changed file must be read. */
    private static final long TIME_TO_READ_MS = 20_000;

    private static final String HOST = "orders.example";

    public static void main(String[] args) throws Exception {
        main(new CallerCase(), args[0]);
    }

    @Override
    List<String> run() throws Exception {
        Store store = use(new Store("127.0.0.1"));
        store.put("op", "config", config("r7", List.of(
                route("r-order", HOST, "/order/", "idempotent", "orders", 0.5, 2, 2),
                route("r-page", "page.example", "/page/", "idempotent", "storefront", 0.5, 2, 2),
                service("orders"),
                service("storefront"),
                service("library"))));
        Machine machine =
                use(new Machine(folder, "sidecar-a-1", "127.0.0.1", "zone-a", "storefront", store.address(), record));
        Machine servers =
                use(new Machine(folder, "sidecar-b-1", "127.0.0.1", "zone-b", "orders", store.address(), record));
        Endpoint first = use(
                new Endpoint("i-first", "storefront", "zone-a", "127.0.0.1", machine.appPort(), 6, path -> 20, record));
        use(new Endpoint("i-orders", "orders", "zone-b", "127.0.0.1", servers.appPort(), 6, path -> 20, record))
                .reportTo(servers.control(), HEARTBEAT_MS);
        machine.start();
        servers.start();
        first.reportTo(machine.control(), HEARTBEAT_MS);
        machine.awaitReady();
        servers.awaitReady();
        Thread.sleep(CALM_MS);
        send(machine, 5, "/order/before-");
        String service = "storefront";
        if (trouble) {
            first.deregister(machine.control());
            Thread.sleep(ADDRESS_REUSE_MS);
            service = "library";
            machine.change("service", service);
            use(new Endpoint("i-second", service, "zone-a", "127.0.0.1", machine.appPort(), 6, path -> 20, record))
                    .reportTo(machine.control(), HEARTBEAT_MS);
        }
        Thread.sleep(TIME_TO_READ_MS);
        // The calls of the endpoint on this machine.
        send(machine, 20, "/order/after-");
        List<String> breaches = new ArrayList<>();
        for (Record.Event arrival : record.events("arrival")) {
            if (arrival.get("path").startsWith("/order/after-") && !arrival.get("caller").equals(service)) {
                breaches.add("request " + arrival.get("request") + " from the machine of service " + service
                        + " runs with X-Caller-Service " + arrival.get("caller"));
            }
        }
        return breaches;
    }

    private void send(Machine machine, int count, String path) {
        int served = 0;
        for (int i = 0; i < count; i++) {
            served += call(machine, "GET", HOST, path + i, 2_000) == 200 ? 1 : 0;
        }
        if (served == 0) {
            throw new IllegalStateException("no request is served");
        }
    }
}

import java.util.ArrayList;
import java.util.List;

/** A planned stop of the callers' machine while endpoints work on long requests: those that it breaks off by itself. */
final class LostCase extends Case {

    private static final long HEARTBEAT_MS = 870;
    /** Longer than contactS, so that all machines are in touch. */
    private static final long CALM_MS = 5_000;

    private static final long DEADLINE_MS = 10_026;
    /** Mean and greatest work of the transcripts in the sheet of the radio mesh. */
    private static final long USUAL_MS = 550;

    private static final long LONG_MS = 3_300;
    private static final int LONG_CALLS = 6;
    private static final List<String> PREFIXES = List.of("/transcript/", "/index/");
    private static final String HOST = "transcripts.example";

    public static void main(String[] args) {
        main(new LostCase(), args[0]);
    }

    private static long work(String target) {
        return target.contains("long") ? LONG_MS : USUAL_MS;
    }

    @Override
    List<String> run() throws Exception {
        Store store = use(new Store("127.0.11.1"));
        store.put("op", "config", config("r7", List.of(
                route("r-transcript", HOST, "/transcript/", "idempotent", "transcripts", 3.008, 10.026, 1),
                route("r-index", HOST, "/index/", "idempotent", "index", 3.008, 10.026, 2),
                service("transcripts"),
                service("index"),
                service("shop"))));
        Machine callers = use(new Machine(folder, "sidecar-a-1", "127.0.11.1", "zone-a", "shop", store.address(), record));
        use(new Endpoint("i-shop", "shop", "zone-a", "127.0.11.1", callers.appPort(), 6, path -> 20, record))
                .reportTo(callers.control(), HEARTBEAT_MS);
        callers.start();
        // Two endpoints and a route with one attempt; one endpoint and a route with two.
        List<Machine> servers = new ArrayList<>();
        for (String service : List.of("transcripts", "transcripts", "index")) {
            String number = String.valueOf(servers.size() + 1);
            Machine machine = use(new Machine(
                    folder, "sidecar-b-" + number, "127.0.11.1", "zone-b", service, store.address(), record));
            use(new Endpoint("i-" + number, service, "zone-b", "127.0.11.1", machine.appPort(), 6, LostCase::work,
                            record))
                    .reportTo(machine.control(), HEARTBEAT_MS);
            servers.add(machine.start());
        }
        callers.awaitReady();
        for (Machine machine : servers) {
            machine.awaitReady();
        }
        Thread.sleep(CALM_MS);
        for (int i = 0; i < 8; i++) {
            for (String prefix : PREFIXES) {
                if (call(callers, "GET", HOST, prefix + "usual-" + i, DEADLINE_MS) != 200) {
                    throw new IllegalStateException("a usual request is not served in calm");
                }
            }
        }
        List<Thread> clients = new ArrayList<>();
        List<String> breaches = new ArrayList<>();
        for (int i = 0; i < LONG_CALLS; i++) {
            String target = PREFIXES.get(i % PREFIXES.size()) + "long-" + i;
            Thread client = new Thread(() -> call(callers, "GET", HOST, target, DEADLINE_MS));
            client.start();
            clients.add(client);
        }
        Thread.sleep(300);
        if (trouble) {
            callers.signal("TERM");
        }
        for (Thread client : clients) {
            client.join();
        }
        // The endpoints' work goes on or has been dropped; the record shows the end of a run that was not.
        Thread.sleep(500);
        for (Record.Event sent : record.events("sent")) {
            String request = sent.get("request");
            boolean atWork = record.events("run").stream().anyMatch(run -> run.get("request").equals(request));
            Record.Event answer = record.events("answer").stream()
                    .filter(event -> event.get("request").equals(request))
                    .findFirst()
                    .orElseThrow();
            boolean ofEndpoint = !answer.get("signature").isEmpty();
            if (trouble && atWork && !ofEndpoint && sent.get("target").contains("long")) {
                breaches.add(sent.get("target") + ", at work at its endpoint, gets " + answer.get("status")
                        + " of the node " + (answer.ms() - sent.ms()) + " ms after it was sent");
            }
        }
        return breaches;
    }
}

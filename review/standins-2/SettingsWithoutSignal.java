import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The backend server beside a node ends, and its address goes to one of another service; the settings file of the node
 * changes without a signal. Callers on that machine then send requests.
 */
final class SettingsWithoutSignal {

    private static final int REQUESTS = 20;

    private SettingsWithoutSignal() {}

    public static void main(String[] args) throws Exception {
        Deployment.main(args, Kit.smallBounds(), SettingsWithoutSignal::run);
    }

    private static int run(Deployment deployment, boolean trouble) throws Exception {
        Kit.Journal journal = deployment.journal;
        Map<String, String> callerOf = new ConcurrentHashMap<>();
        Kit.Node entry = deployment.add("west-a", "listings", arrival -> arrival.answer(200, new byte[10]));
        deployment.add("west-a", "ledger", arrival -> {
            String caller = arrival.request().header("x-caller-service");
            journal.line("ledger: runs %s, X-Caller-Service: %s", arrival.id(), caller);
            callerOf.put(arrival.id(), caller);
            arrival.answer(200, new byte[100]);
        });
        if (!deployment.start(
                Kit.route("r-ledger", "a.example", "/ledger/", "non_idempotent", 1.2, 0.4, 1, "ledger"),
                Kit.service("listings", 130), Kit.service("ledger", 130), Kit.service("archive", 130))) {
            return Deployment.COULD_NOT_RUN;
        }
        int before = send(deployment, entry, callerOf, "listings");
        journal.say("before: %d of %d requests ran with another service than that of the machine", before, REQUESTS);

        Kit.Backend ended = deployment.backends.get(0);
        ended.reporting = false;
        ended.tell(entry.control(), "deregister");
        Kit.sleep(2.5);
        ended.close();
        Kit.sleep(2.5);
        String next = trouble ? "archive" : "listings";
        entry.fields.put("service", next);
        entry.writeSettings();
        journal.line("settings of %s: service %s; no signal", entry.name, next);
        Kit.Backend started = new Kit.Backend(journal, "i-next", next, "west-a", ended.host,
                Integer.parseInt(ended.address().split(":")[1]), arrival -> arrival.answer(200, new byte[10]));
        deployment.backends.add(started);
        started.report(entry.control(), 1.5);
        Kit.sleep(12);
        int after = send(deployment, entry, callerOf, next);
        journal.say("after: %d of %d requests ran with another service than that of the machine", after, REQUESTS);
        return before + after > 0 ? Deployment.BROKEN : Deployment.HELD;
    }

    /** Returns how many requests ran with another calling service than that of the machine where they began. */
    private static int send(Deployment deployment, Kit.Node entry, Map<String, String> callerOf, String service)
            throws Exception {
        int wrong = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = Kit.newId();
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", "a.example");
            headers.put("X-Request-Id", id);
            headers.put("X-Deadline-Ms", "2500");
            try (Kit.Caller caller = new Kit.Caller(entry.outbound(), 3000)) {
                int status = caller.exchange("POST", "/ledger/x", headers, new byte[20]).status();
                deployment.journal.line("caller on %s (%s): %s answered %d", entry.name, service, id, status);
            }
            if (callerOf.containsKey(id) && !callerOf.get(id).equals(service)) {
                wrong++;
            }
        }
        return wrong;
    }
}

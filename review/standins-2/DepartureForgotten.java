import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An endpoint deregisters while the store is down and is acknowledged; then all processes are killed at the same moment.
 * The store comes back, and the endpoint still serves.
 */
final class DepartureForgotten {

    private static final double DRAIN_S = 2;
    private static final double CONTACT_S = 3;
    private static final double PER_S = 100;
    private static final int CALLERS = 10;

    private DepartureForgotten() {}

    public static void main(String[] args) throws Exception {
        Deployment.main(args, Kit.smallBounds(), DepartureForgotten::run);
    }

    private static int run(Deployment deployment, boolean trouble) throws Exception {
        Kit.Journal journal = deployment.journal;
        double[] acknowledgedS = {Double.MAX_VALUE};
        double[] inTouchS = {0};
        AtomicInteger late = new AtomicInteger();
        Kit.Work work = arrival -> {
            double now = journal.now();
            boolean leaving = arrival.at().id.equals("i-ledger1");
            boolean counts = leaving && now > acknowledgedS[0] + DRAIN_S && now > inTouchS[0];
            if (counts) {
                late.incrementAndGet();
            }
            journal.line("%s: runs %s%s", arrival.at().id, arrival.id(), counts ? " LATE" : "");
            Kit.sleep(0.02);
            arrival.answer(200, new byte[100]);
        };
        Kit.Node leavingNode = deployment.add("west-a", "ledger", work);
        deployment.add("west-b", "ledger", work);
        deployment.add("west-a", "front", arrival -> arrival.answer(200, new byte[10]));
        deployment.add("west-b", "front", arrival -> arrival.answer(200, new byte[10]));
        if (!deployment.start(
                Kit.route("r-ledger", "a.example", "/ledger/", "non_idempotent", 1.2, 0.4, 1, "ledger"),
                Kit.service("front", 130), Kit.service("ledger", 130))) {
            return Deployment.COULD_NOT_RUN;
        }
        double endS = journal.now() + 14;
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            Kit.daemon(() -> call(deployment, deployment.nodes.get(2 + number % 2), number, endS));
        }
        Kit.sleep(2);
        Kit.Backend leaving = deployment.backends.get(0);
        if (trouble) {
            deployment.store.setDown(true);
            Kit.sleep(0.3);
        }
        // An endpoint that never reports draining: it deregisters and serves on, at times for many seconds.
        leaving.reporting = false;
        if (leaving.tell(leavingNode.control(), "deregister") != 200) {
            return Deployment.COULD_NOT_RUN;
        }
        acknowledgedS[0] = journal.now();
        journal.say("departure of %s acknowledged", leaving.id);
        if (trouble) {
            Kit.sleep(0.2);
            deployment.nodes.forEach(node -> node.process.destroyForcibly());
            for (Kit.Node node : deployment.nodes) {
                node.process.waitFor();
            }
            journal.line("all processes killed");
            Kit.sleep(0.3);
            deployment.store.turnedAway.clear();
            for (Kit.Node node : deployment.nodes) {
                node.start();
            }
            double startedS = journal.now();
            // The store is back between two attempts of the node to read its saved report, which are 1.5 s apart.
            boolean asked = Kit.await(5, () -> deployment.store.turnedAway.stream()
                    .anyMatch(target -> target.startsWith("/rows-get") && target.contains("from=" + leavingNode.name)));
            if (!asked) {
                return Deployment.COULD_NOT_RUN;
            }
            Kit.sleep(0.2);
            deployment.store.setDown(false);
            inTouchS[0] = Math.max(startedS, journal.now()) + CONTACT_S;
            journal.line("all machines are in touch from %.3f s on", inTouchS[0]);
        }
        Kit.sleep(endS - journal.now());
        journal.say("%d requests ran at %s later than %.0f s after its acknowledgement, sent on by machines in touch",
                late.get(), leaving.id, DRAIN_S);
        return late.get() > 0 ? Deployment.BROKEN : Deployment.HELD;
    }

    private static void call(Deployment deployment, Kit.Node entry, int number, double endS) {
        Kit.sleep(number / PER_S);
        while (deployment.journal.now() < endS) {
            double next = deployment.journal.now() + CALLERS / PER_S;
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", "a.example");
            headers.put("X-Request-Id", Kit.newId());
            headers.put("X-Deadline-Ms", "2500");
            try (Kit.Caller caller = new Kit.Caller(entry.outbound(), 3000)) {
                int status = caller.exchange("POST", "/ledger/x", headers, new byte[20]).status();
                deployment.journal.line("caller: %s answered %d", headers.get("X-Request-Id"), status);
            } catch (IOException e) {
                deployment.journal.line("caller: %s got no answer", headers.get("X-Request-Id"));
            }
            Kit.sleep(Math.max(0, next - deployment.journal.now()));
        }
    }
}

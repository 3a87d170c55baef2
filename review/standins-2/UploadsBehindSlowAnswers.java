import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers on one machine send an upload that may be repeated behind a request that may not, while the servers of the
 * latter are slow. Other callers on that machine send small requests to another, sound service.
 */
final class UploadsBehindSlowAnswers {

    private static final int CALLERS = 100;
    private static final int UPLOAD_BYTES = 600_000;
    private static final double BYTES_PER_S = 0.8e6;
    private static final double WORK_S = 0.276;
    private static final double SLOW_FACTOR = 5;
    private static final double TIMEOUT_S = 2.5;
    private static final int LEDGER_SERVERS = 8;
    private static final int OTHERS = 8;
    private static final double REST_S = 10;
    private static final int PROBES = 12;

    private UploadsBehindSlowAnswers() {}

    public static void main(String[] args) throws Exception {
        Deployment.main(args, Kit.smallBounds(), UploadsBehindSlowAnswers::run);
    }

    private static int run(Deployment deployment, boolean trouble) throws Exception {
        Kit.Journal journal = deployment.journal;
        Set<String> ran = ConcurrentHashMap.newKeySet();
        AtomicBoolean slow = new AtomicBoolean(trouble);
        Kit.Node entry = deployment.add("west-a", "front", arrival -> arrival.answer(200, new byte[10]));
        deployment.add("west-a", "listings", arrival -> {
            ran.add(arrival.id());
            Kit.sleep(0.02);
            arrival.answer(200, new byte[1000]);
        });
        for (int i = 0; i < LEDGER_SERVERS; i++) {
            deployment.add(i % 2 == 0 ? "west-a" : "west-b", "ledger", arrival -> {
                ran.add(arrival.id());
                journal.line("%s: begins to run %s", arrival.at().id, arrival.id());
                Kit.sleep(slow.get() ? WORK_S * SLOW_FACTOR : WORK_S);
                arrival.answer(200, new byte[1000]);
            });
        }
        if (!deployment.start(
                Kit.route("r-ledger", "a.example", "/ledger/", "non_idempotent", TIMEOUT_S, 0.807, 1, "ledger"),
                Kit.route("r-listings", "a.example", "/listings/", "idempotent", TIMEOUT_S, 0.503, 0, "listings"),
                Kit.service("front", 130), Kit.service("ledger", 130), Kit.service("listings", 130))) {
            return Deployment.COULD_NOT_RUN;
        }
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger otherAnswers = new AtomicInteger();
        AtomicInteger otherFailures = new AtomicInteger();
        double endS = journal.now() + 12;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < OTHERS; i++) {
            threads.add(Kit.daemon(() -> other(deployment, entry, ran, endS, otherAnswers, otherFailures, lost)));
        }
        Kit.sleep(2);
        for (int i = 0; i < CALLERS; i++) {
            threads.add(Kit.daemon(() -> upload(deployment, entry, ran, whole, failed, lost, unanswered)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        slow.set(false);
        journal.say("other callers: %d answers, %d failures", otherAnswers.get(), otherFailures.get());
        journal.say("%d of %d payments answered with 200, %d with another status, %d ran and their connection was closed "
                + "without an answer, %d without an answer %.1f s after they were sent", whole.get(), CALLERS,
                failed.get(), lost.get(), unanswered.get(), TIMEOUT_S + 0.5);
        Kit.sleep(REST_S);
        AtomicInteger silent = new AtomicInteger();
        List<Thread> probes = new ArrayList<>();
        for (int i = 0; i < PROBES; i++) {
            probes.add(Kit.daemon(() -> silent.addAndGet(answered(deployment, entry) ? 0 : 1)));
        }
        for (Thread probe : probes) {
            probe.join();
        }
        journal.say("%.0f s after the last of these callers has left, %d of %d requests without an answer %.1f s after "
                + "they were sent; process runs: %s", REST_S, silent.get(), PROBES, TIMEOUT_S + 0.5,
                entry.process.isAlive());
        boolean broken = lost.get() > 3 || unanswered.get() >= 8 || silent.get() >= 8;
        return broken ? Deployment.BROKEN : Deployment.HELD;
    }

    private static boolean answered(Deployment deployment, Kit.Node entry) {
        String id = Kit.newId();
        try (Kit.Caller caller = new Kit.Caller(entry.outbound(), (int) ((TIMEOUT_S + 0.5) * 1000))) {
            int status = caller.exchange("GET", "/listings/x", headers(id), new byte[0]).status();
            deployment.journal.line("afterwards: %s answered %d", id, status);
            return true;
        } catch (IOException e) {
            deployment.journal.line("afterwards: %s without an answer: %s", id, e);
            return false;
        }
    }

    private static Map<String, String> headers(String id) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "a.example");
        headers.put("X-Request-Id", id);
        headers.put("X-Deadline-Ms", "2500");
        return headers;
    }

    private static void other(Deployment deployment, Kit.Node entry, Set<String> ran, double endS,
            AtomicInteger answers, AtomicInteger failures, AtomicInteger lost) {
        Kit.Journal journal = deployment.journal;
        while (journal.now() < endS) {
            String id = "";
            try (Kit.Caller caller = new Kit.Caller(entry.outbound(), 4000)) {
                while (journal.now() < endS) {
                    id = Kit.newId();
                    int status = caller.exchange("GET", "/listings/x", headers(id), new byte[0]).status();
                    (status == 200 ? answers : failures).incrementAndGet();
                    if (status != 200) {
                        journal.line("other caller: %s answered %d", id, status);
                    }
                    Kit.sleep(0.05);
                }
            } catch (IOException e) {
                failures.incrementAndGet();
                if (ran.contains(id)) {
                    lost.incrementAndGet();
                }
                journal.line("other caller: %s%s without an answer: %s", id, ran.contains(id) ? " ran," : "", e);
            }
        }
    }

    private static void upload(Deployment deployment, Kit.Node entry, Set<String> ran, AtomicInteger whole,
            AtomicInteger failed, AtomicInteger lost, AtomicInteger unanswered) {
        Kit.Journal journal = deployment.journal;
        String id = Kit.newId();
        double sentS = 0;
        try (Kit.Caller caller = new Kit.Caller(entry.outbound(), (int) ((TIMEOUT_S + 0.5) * 1000))) {
            caller.out.write(Kit.Caller.request("POST", "/ledger/x", headers(id), new byte[1200]));
            caller.out.flush();
            sentS = journal.now();
            journal.line("caller: sent %s, an upload follows", id);
            Kit.daemon(() -> sendUpload(caller));
            int status = caller.answer().status();
            (status == 200 ? whole : failed).incrementAndGet();
            journal.line("caller: %s answered %d after %.3f s", id, status, journal.now() - sentS);
            journal.line("caller: upload answered %d", caller.answer().status());
        } catch (java.net.SocketTimeoutException e) {
            if (journal.now() - sentS < TIMEOUT_S + 1) {
                unanswered.incrementAndGet();
                journal.line("UNANSWERED: %s%s", id, ran.contains(id) ? " ran" : "");
            }
        } catch (IOException e) {
            journal.line("caller: connection of %s ended: %s", id, e.getMessage());
            if (ran.contains(id) && e.getMessage().contains("without an answer")) {
                lost.incrementAndGet();
            }
        }
    }

    private static void sendUpload(Kit.Caller caller) {
        try {
            byte[] message = Kit.Caller.request("PUT", "/listings/x", headers(Kit.newId()), new byte[UPLOAD_BYTES]);
            int part = (int) (BYTES_PER_S / 100);
            for (int at = 0; at < message.length; at += part) {
                caller.out.write(message, at, Math.min(part, message.length - at));
                caller.out.flush();
                Kit.sleep(0.01);
            }
        } catch (IOException e) {
            // The connection was closed; the reader records it.
        }
    }
}

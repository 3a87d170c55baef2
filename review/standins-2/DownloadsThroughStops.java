import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two machines are stopped one after the other in calm: first one beside an endpoint, then the one to which callers are
 * connected. The callers' link is narrow, so that their downloads take seconds.
 */
final class DownloadsThroughStops {

    private static final int CALLERS = 6;
    private static final int DOWNLOAD_BYTES = 40_000_000;
    private static final double BYTES_PER_S = 7_000_000;
    private static final double TIMEOUT_S = 6.4;
    private static final double SENT_AFTER_S = 1.5;
    private static final double STOP_GAP_S = 3;

    private DownloadsThroughStops() {}

    public static void main(String[] args) throws Exception {
        Map<String, Object> bounds = Kit.smallBounds();
        bounds.put("contactS", 4);
        bounds.put("ackS", 5);
        bounds.put("drainS", 3);
        bounds.put("configApplyS", 3);
        Deployment.main(args, bounds, DownloadsThroughStops::run);
    }

    private static int run(Deployment deployment, boolean trouble) throws Exception {
        Kit.Journal journal = deployment.journal;
        Map<String, String> ranAt = new ConcurrentHashMap<>();
        Kit.Node entry = deployment.add("west-a", "front", arrival -> arrival.answer(200, new byte[10]));
        Kit.Work work = arrival -> {
            ranAt.put(arrival.id(), arrival.at().id);
            journal.line("%s: has run %s, sends the answer", arrival.at().id, arrival.id());
            arrival.answer(200, new byte[DOWNLOAD_BYTES]);
            journal.line("%s: has sent the answer to %s", arrival.at().id, arrival.id());
        };
        Kit.Node stopped = deployment.add("west-a", "archive", work);
        deployment.add("west-b", "archive", work);
        if (!deployment.start(
                Kit.route("r-archive", "a.example", "/archive/", "download", TIMEOUT_S, 1.3, 2, "archive"),
                Kit.service("front", 610), Kit.service("archive", 610))) {
            return Deployment.COULD_NOT_RUN;
        }
        if (trouble) {
            stopped.signal("TERM");
        }
        Kit.sleep(SENT_AFTER_S);
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        Set<String> cut = ConcurrentHashMap.newKeySet();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(Kit.daemon(() -> download(deployment, entry, whole, refused, cut)));
        }
        if (trouble) {
            Kit.sleep(STOP_GAP_S - SENT_AFTER_S);
            entry.signal("TERM");
        }
        for (Thread caller : callers) {
            caller.join();
        }
        long lost = cut.stream().filter(ranAt::containsKey).count();
        journal.say("%d downloads whole, %d refused, %d had run and were cut", whole.get(), refused.get(), lost);
        return lost > 0 ? Deployment.BROKEN : whole.get() == 0 ? Deployment.COULD_NOT_RUN : Deployment.HELD;
    }

    private static void download(Deployment deployment, Kit.Node entry, AtomicInteger whole, AtomicInteger refused,
            Set<String> cut) {
        Kit.Journal journal = deployment.journal;
        String id = Kit.newId();
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "a.example");
        headers.put("X-Request-Id", id);
        headers.put("X-Deadline-Ms", Integer.toString((int) (TIMEOUT_S * 1000)));
        double sentS = journal.now();
        int received = 0;
        try (Kit.Caller caller = Kit.Caller.behindNarrowLink(entry.outbound(), 10_000)) {
            caller.out.write(Kit.Caller.request("GET", "/archive/x", headers, new byte[0]));
            caller.out.flush();
            InputStream in = caller.socket.getInputStream();
            Kit.Message head = Kit.readHead(in);
            if (head == null || head.status() != 200) {
                refused.incrementAndGet();
                journal.line("caller: %s answered %s", id, head == null ? "by a close" : head.first);
                return;
            }
            byte[] part = new byte[(int) (BYTES_PER_S / 50)];
            while (received < DOWNLOAD_BYTES) {
                int read = in.read(part, 0, Math.min(part.length, DOWNLOAD_BYTES - received));
                if (read < 0) {
                    throw new IOException("connection closed in the middle of the answer");
                }
                received += read;
                Kit.sleep(Math.max(0, received / BYTES_PER_S - (journal.now() - sentS)));
            }
            whole.incrementAndGet();
            journal.line("caller: %s whole after %.3f s", id, journal.now() - sentS);
        } catch (IOException e) {
            cut.add(id);
            journal.line("CUT: %s after %.3f s and %d bytes: %s", id, journal.now() - sentS, received, e.getMessage());
        }
    }
}

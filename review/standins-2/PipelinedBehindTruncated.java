import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A caller sends a download and, before its answer, further repeatable requests on the same connection. One answer in
 * fifty of the download's backend server is broken off; the requests behind run at a sound one.
 */
final class PipelinedBehindTruncated {

    private static final int ROUNDS = 100;
    private static final int BROKEN_OFF_EVERY = 50;
    private static final int BEHIND = 4;
    private static final int DOWNLOAD_BYTES = 400_000;

    private PipelinedBehindTruncated() {}

    public static void main(String[] args) throws Exception {
        Deployment.main(args, Kit.smallBounds(), PipelinedBehindTruncated::run);
    }

    private static int run(Deployment deployment, boolean trouble) throws Exception {
        Kit.Journal journal = deployment.journal;
        Set<String> ran = ConcurrentHashMap.newKeySet();
        AtomicInteger downloads = new AtomicInteger();
        Kit.Node entry = deployment.add("west-a", "front", arrival -> arrival.answer(200, new byte[10]));
        deployment.add("west-a", "archive", arrival -> {
            int number = downloads.incrementAndGet();
            boolean broken = trouble && number % BROKEN_OFF_EVERY == 0;
            journal.line("archive: %s begins, answer %s", arrival.id(), broken ? "will be broken off" : "whole");
            arrival.answerHead(200, DOWNLOAD_BYTES);
            arrival.out().write(new byte[DOWNLOAD_BYTES / 2]);
            arrival.out().flush();
            Kit.sleep(0.08);
            if (broken) {
                arrival.socket().close();
                return;
            }
            arrival.out().write(new byte[DOWNLOAD_BYTES / 2]);
            arrival.out().flush();
        });
        deployment.add("west-b", "listings", arrival -> {
            ran.add(arrival.id());
            journal.line("listings: %s begins to run", arrival.id());
            Kit.sleep(0.15);
            arrival.answer(200, new byte[1000]);
        });
        if (!deployment.start(
                Kit.route("r-archive", "a.example", "/archive/", "download", 1.0, 0.5, 2, "archive"),
                Kit.route("r-listings", "a.example", "/listings/", "idempotent", 1.0, 0.5, 2, "listings"),
                Kit.service("front", 130), Kit.service("archive", 130), Kit.service("listings", 130))) {
            return Deployment.COULD_NOT_RUN;
        }
        int lost = 0;
        int answered = 0;
        int refused = 0;
        for (int round = 0; round < ROUNDS; round++) {
            String[] ids = new String[BEHIND + 1];
            int got = 0;
            try (Kit.Caller caller = new Kit.Caller(entry.outbound(), 3000)) {
                // A kept connection: one request has been answered on it.
                Kit.Message first = caller.exchange("GET", "/listings/0", headers(Kit.newId()), new byte[0]);
                if (first.status() != 200) {
                    refused++;
                    continue;
                }
                for (int i = 0; i <= BEHIND; i++) {
                    ids[i] = Kit.newId();
                    caller.out.write(Kit.Caller.request(
                            "GET", (i == 0 ? "/archive/" : "/listings/") + i, headers(ids[i]), new byte[0]));
                }
                caller.out.flush();
                journal.line("caller: sent %s (archive) and %d behind it", ids[0], BEHIND);
                for (; got <= BEHIND; got++) {
                    Kit.Message answer = caller.answer();
                    if (!answer.header("x-request-id").equals(ids[got]) && answer.status() == 200) {
                        journal.say("foreign answer %s for %s", answer.header("x-request-id"), ids[got]);
                        return Deployment.BROKEN;
                    }
                    if (answer.status() != 200) {
                        journal.line("caller: %s answered %d", ids[got], answer.status());
                    }
                    answered++;
                }
            } catch (IOException e) {
                journal.line("caller: connection ended after %d answers: %s", got, e.getMessage());
                for (int i = got + 1; i <= BEHIND; i++) {
                    if (ran.contains(ids[i])) {
                        lost++;
                        journal.line("LOST: %s ran at the sound server and got no answer", ids[i]);
                    }
                }
            }
        }
        journal.say("%d answers, %d rounds not begun, %d requests ran at a sound server and got no answer", answered,
                refused, lost);
        if (refused > ROUNDS / 2) {
            return Deployment.COULD_NOT_RUN;
        }
        return lost > 3 ? Deployment.BROKEN : Deployment.HELD;
    }

    private static Map<String, String> headers(String id) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "a.example");
        headers.put("X-Request-Id", id);
        headers.put("X-Deadline-Ms", "2000");
        return headers;
    }
}

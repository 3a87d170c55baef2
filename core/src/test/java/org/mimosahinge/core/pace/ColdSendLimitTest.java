package org.mimosahinge.core.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.ColdStart;
import org.mimosahinge.core.admission.AdmissionDecision;
import org.mimosahinge.core.admission.AdmissionLimits;
import org.mimosahinge.core.admission.AdmissionPolicy;
import org.mimosahinge.core.admission.AdmissionView;
import org.mimosahinge.core.admission.SlotRequest;

/** Guards against more calls to a cold backend server in any one second than it bears, which crash it. */
class ColdSendLimitTest {

    private static final int SLOTS = 6;

    /** Work of a call on a cold backend server of the users' deployments. */
    private static final int SERVICE_MS = 420;

    private static ColdStart cold(double callsPerS) {
        return new ColdStart(Duration.ofSeconds(10), callsPerS);
    }

    /** Returns the most calls in any period of one second, whenever it starts. */
    private static int mostInOneSecond(List<Long> sent) {
        int most = 0;
        int first = 0;
        for (int i = 0; i < sent.size(); i++) {
            while (sent.get(i) - sent.get(first) >= 1_000) {
                first++;
            }
            most = Math.max(most, i - first + 1);
        }
        return most;
    }

    /** One backend server with its slots, its queue and the limit, driven in virtual time. */
    private static final class Server {

        private final List<Long> sent = new ArrayList<>();
        private final List<Long> ends = new ArrayList<>();
        private final TreeSet<SlotRequest> waiting = new TreeSet<>();
        private final ColdSendLimit limit;
        private long arrivals;

        Server(ColdSendLimit limit) {
            this.limit = limit;
        }

        private void advance(long now) {
            ends.removeIf(end -> end <= now);
            waiting.removeIf(call -> call.deadlineMs() - SERVICE_MS < now);
            while (!waiting.isEmpty() && ends.size() < SLOTS && (limit == null || limit.waitMs(now, 0) == 0)) {
                waiting.pollFirst();
                send(now);
            }
        }

        private void send(long now) {
            sent.add(now);
            ends.add(now + SERVICE_MS);
            if (limit != null) {
                limit.sent(now);
            }
        }

        private AdmissionDecision offer(long now, long deadlineMs) {
            advance(now);
            SlotRequest call = new SlotRequest(CallClass.INTERACTIVE, deadlineMs, ++arrivals);
            AdmissionView view =
                    new AdmissionView(new AdmissionLimits(SLOTS, 0, 256), ends.size(), waiting, SERVICE_MS, now);
            AdmissionDecision unlimited = AdmissionPolicy.decide(view, call);
            AdmissionDecision decision = limit == null
                    ? unlimited
                    : ColdAdmission.decide(unlimited, view, call, limit.waitMs(now, waiting.size()));
            if (decision instanceof AdmissionDecision.Run) {
                send(now);
            } else if (decision instanceof AdmissionDecision.Wait wait) {
                wait.evicted().ifPresent(waiting::remove);
                waiting.add(call);
            }
            return decision;
        }
    }

    /**
     * All machines of a zone return cold and their callers repeat what is refused. Without the limit, the baseline,
     * the free slots of each server take more calls than it bears.
     */
    @ParameterizedTest(name = "{0} per second borne, {1} servers, {2} calls per second, target {3} ms")
    @CsvSource({"5.27, 27, 700, 847", "5.27, 1, 60, 847", "12, 11, 300, 6000", "2.5, 53, 1000, 1047", "0.5, 4, 50, 6000"
    })
    void aFleetThatReturnsColdIsNotFlooded(double callsPerS, int servers, int demand, int targetMs) {
        for (boolean limited : new boolean[] {true, false}) {
            Random random = new Random(17);
            List<Server> fleet = new ArrayList<>();
            for (int i = 0; i < servers; i++) {
                fleet.add(new Server(limited ? new ColdSendLimit(cold(callsPerS)) : null));
            }
            int durationMs = 12_000;
            double nextMs = 0;
            for (int now = 0; now < durationMs; now++) {
                for (Server server : fleet) {
                    server.advance(now);
                }
                while (nextMs <= now) {
                    nextMs += -Math.log(1 - random.nextDouble()) * 1_000 / demand;
                    for (int attempt = 0; attempt < 3; attempt++) {
                        Server chosen = fleet.get(random.nextInt(servers));
                        if (!(chosen.offer(now, now + targetMs) instanceof AdmissionDecision.Refuse)) {
                            break;
                        }
                    }
                }
            }
            for (Server server : fleet) {
                int most = mostInOneSecond(server.sent);
                if (limited) {
                    assertTrue(most <= Math.max(1, callsPerS), most + " calls in one second");
                    double expected = (callsPerS < 1 ? callsPerS : Math.floor(callsPerS)) * durationMs / 1_000;
                    assertTrue(server.sent.size() >= 0.8 * expected, "idle: " + server.sent.size() + " calls");
                } else {
                    assertTrue(most > callsPerS, "The baseline should exceed the rate, but sent " + most);
                }
            }
        }
    }

    /** A second may start at any moment, so counting by whole seconds, the baseline, lets twice as many pass. */
    @ParameterizedTest(name = "bursts every {0} ms, {1} per second borne")
    @CsvSource({"100, 5", "333, 5", "900, 8", "1000, 3", "1001, 3", "1700, 20", "7, 1"})
    void noSlidingSecondExceedsTheRate(int everyMs, int callsPerS) {
        ColdSendLimit limit = new ColdSendLimit(cold(callsPerS));
        List<Long> sent = new ArrayList<>();
        List<Long> countedBySecond = new ArrayList<>();
        int[] inSecond = new int[60];
        for (long now = 950; now < 30_000; now += everyMs) {
            for (int i = 0; i < 3 * callsPerS; i++) {
                if (limit.waitMs(now, 0) == 0) {
                    limit.sent(now);
                    sent.add(now);
                }
                if (inSecond[(int) (now / 1_000)]++ < callsPerS) {
                    countedBySecond.add(now);
                }
            }
        }
        assertTrue(mostInOneSecond(sent) <= callsPerS, mostInOneSecond(sent) + " calls");
        if (everyMs < 900) {
            assertTrue(mostInOneSecond(countedBySecond) > callsPerS, "The baseline should exceed the rate");
        }
    }

    @ParameterizedTest(name = "{0} sent, {1} ahead after {2} ms: waits {3} ms, {4} free")
    @CsvSource({
        "0, 0, 0, 0, 3",
        "3, 0, 0, 1001, 0",
        "3, 0, 1000, 1, 0",
        "3, 0, 1001, 0, 3",
        "2, 0, 5, 0, 1",
        "2, 1, 5, 996, 0",
        "3, 4, 0, 2002, 0"
    })
    void tellsWhenThereIsRoom(int calls, int ahead, int afterMs, long waitMs, int free) {
        ColdSendLimit limit = new ColdSendLimit(cold(3.9));
        for (int i = 0; i < calls; i++) {
            limit.sent(1_000);
        }
        assertEquals(waitMs, limit.waitMs(1_000 + afterMs, ahead));
        assertEquals(free, limit.free(1_000 + afterMs, ahead));
    }

    /** A changed rate must not forget the calls of the last second. */
    @ParameterizedTest(name = "rate of {0}")
    @CsvSource({"2", "20"})
    void aChangedRateStartsWithoutRoom(double callsPerS) {
        ColdSendLimit limit = new ColdSendLimit(cold(callsPerS), 5_000);
        assertEquals(0, limit.free(6_000, 0));
        assertEquals((int) callsPerS, limit.free(6_001, 0));
    }

    @ParameterizedTest(name = "endpoint {0} at {1}: cold {2}")
    @CsvSource({"i-1, 900, true", "i-1, 1000, false", "i-2, 2000, true"})
    void anEndpointWithoutAReportCountsAsCold(String endpoint, long nowMs, boolean expected) {
        assertEquals(expected, new Coldness("i-1", 1_000).isCold(endpoint, nowMs));
        assertTrue(Coldness.UNKNOWN.isCold(endpoint, nowMs));
    }

    @ParameterizedTest(name = "overage {0}, slack {1}: {2} of 5 per second")
    @CsvSource({"0, 0, 5", "1.5, 8, 5", "0.5, 1, 3.5"})
    void theAgreementBoundsTheRate(double overage, double slack, double expected) {
        Map<String, ColdStart> limits = new ColdBounds(overage, slack).limits(Map.of("shop", cold(5)));
        assertEquals(expected, limits.get("shop").callsPerS());
    }
}

package org.mimosahinge.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.contract.CallClass;

/** Guards against overload of a backend server, priority inversion and late refusals. */
class AdmissionPolicyTest {

    private static final AdmissionLimits LIMITS = new AdmissionLimits(10, 1, 2);

    private static AdmissionView view(int running, double serviceMs, SlotRequest... waiting) {
        return new AdmissionView(LIMITS, running, new TreeSet<>(List.of(waiting)), serviceMs, 0);
    }

    private static String outcomeName(AdmissionDecision decision) {
        if (decision instanceof AdmissionDecision.Wait wait) {
            return wait.evicted().isPresent() ? "Evict" : "Wait";
        }
        return decision.getClass().getSimpleName();
    }

    @ParameterizedTest(name = "{0} with deadline {1} ms, {2} running, {3} waiting of class BATCH, {4} ms each: {5}")
    @CsvSource({
        "INTERACTIVE, 1000, 8, 0, 10, Run",
        "INTERACTIVE, 1000, 9, 0, 10, Wait",
        "INTERNAL_CHECK, 1000, 9, 0, 10, Run",
        "INTERNAL_CHECK, 1000, 10, 0, 10, Wait",
        "INTERNAL_CHECK, 1000, 9, 2, 10, Run",
        "BATCH, 5000, 9, 2, 10, Refuse",
        "INTERACTIVE, 1000, 9, 2, 10, Evict",
        "INTERACTIVE, 105, 9, 0, 100, Refuse",
        "INTERACTIVE, 1000, 9, 0, 100, Wait"
    })
    void admitsByClassAndDeadline(
            CallClass callClass, long deadlineMs, int running, int waiting, double serviceMs, String expected) {
        SlotRequest[] queue = new SlotRequest[waiting];
        for (int i = 0; i < waiting; i++) {
            queue[i] = new SlotRequest(CallClass.BATCH, 1000, i);
        }
        AdmissionDecision decision =
                AdmissionPolicy.decide(view(running, serviceMs, queue), new SlotRequest(callClass, deadlineMs, 9));
        assertEquals(expected, outcomeName(decision));
    }

    @Property(tries = 300, seed = "3")
    void runningAndQueuedCallsStayWithinTheirLimits(
            @ForAll @Size(max = 40) List<@IntRange(min = 0, max = 4) Integer> classes) {
        TreeSet<SlotRequest> waiting = new TreeSet<>();
        int running = 0;
        int internal = 0;
        for (int i = 0; i < classes.size(); i++) {
            SlotRequest call = new SlotRequest(CallClass.values()[classes.get(i)], 1000, i);
            AdmissionDecision decision =
                    AdmissionPolicy.decide(new AdmissionView(LIMITS, running, waiting, 1, 0), call);
            if (decision instanceof AdmissionDecision.Run) {
                running++;
                internal += call.callClass() == CallClass.INTERNAL_CHECK ? 1 : 0;
            } else if (decision instanceof AdmissionDecision.Wait wait) {
                wait.evicted().ifPresent(waiting::remove);
                waiting.add(call);
            }
            assertTrue(running <= 10 && running - internal <= 9 && waiting.size() <= 2);
        }
    }

    @ParameterizedTest(name = "{0} running: call {1} is next")
    @CsvSource({"8, 2", "9, 2", "10, none"})
    void freeSlotGoesToTheHighestClassFirst(int running, String expected) {
        AdmissionView view = view(
                running,
                1,
                new SlotRequest(CallClass.INTERACTIVE, 100, 1),
                new SlotRequest(CallClass.INTERNAL_CHECK, 900, 2));
        assertEquals(
                expected,
                AdmissionPolicy.nextToRun(view)
                        .map(next -> Long.toString(next.arrivalNumber()))
                        .orElse("none"));
    }
}

package org.mimosahinge.daemon.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.mimosahinge.core.move.CallOutcomes;
import org.mimosahinge.core.move.CallOutcomesKey;
import org.mimosahinge.core.move.CountVector;
import org.mimosahinge.core.move.FailureKind;
import org.mimosahinge.core.move.LatencyHistogram;
import org.mimosahinge.core.move.OutcomeCounts;
import org.mimosahinge.net.frame.Frame;

/** Converts evidence on moves between its frame and the form that decisions use. */
public final class EvidenceFrames {

    private EvidenceFrames() {}

    /**
     * Writes evidence as a frame.
     *
     * @param service the service
     * @param evidence the evidence
     * @return the frame
     */
    public static Frame.CallOutcomes toFrame(String service, CallOutcomes evidence) {
        return new Frame.CallOutcomes(
                service,
                evidence.byKey().entrySet().stream()
                        .map(entry -> tally(entry.getKey(), entry.getValue()))
                        .toList());
    }

    /**
     * Reads evidence from a frame.
     *
     * @param frame the frame
     * @return the evidence
     */
    public static CallOutcomes fromFrame(Frame.CallOutcomes frame) {
        Map<CallOutcomesKey, OutcomeCounts> tallies = new HashMap<>();
        for (Frame.OutcomeCounts tally : frame.counts()) {
            tallies.merge(
                    new CallOutcomesKey(tally.version(), tally.route(), tally.zone()),
                    new OutcomeCounts(
                            tally.calls(),
                            counts(tally.failuresByKind(), FailureKind.COUNT),
                            new LatencyHistogram(counts(tally.callsByLatency(), LatencyHistogram.BUCKETS))),
                    OutcomeCounts::plus);
        }
        return new CallOutcomes(tallies);
    }

    private static Frame.OutcomeCounts tally(CallOutcomesKey key, OutcomeCounts tally) {
        return new Frame.OutcomeCounts(
                key.version(),
                key.route(),
                key.zone(),
                tally.calls(),
                list(tally.failuresByKind()),
                list(tally.latency().counts()));
    }

    private static List<Long> list(CountVector counts) {
        return IntStream.range(0, counts.size()).mapToObj(counts::at).toList();
    }

    /** A sender of another release may count fewer or more kinds; the shorter list decides. */
    private static CountVector counts(List<Long> values, int size) {
        long[] counts = new long[size];
        for (int i = 0; i < Math.min(size, values.size()); i++) {
            counts[i] = values.get(i);
        }
        return CountVector.of(counts);
    }
}

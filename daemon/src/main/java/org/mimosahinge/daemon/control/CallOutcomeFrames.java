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

/** Converts call outcomes between their frame and the form that decisions use. */
public final class CallOutcomeFrames {

    private CallOutcomeFrames() {}

    /**
     * Converts call outcomes to a frame.
     *
     * @param service the service
     * @param outcomes the call outcomes
     * @return the frame
     */
    public static Frame.CallOutcomes toFrame(String service, CallOutcomes outcomes) {
        return new Frame.CallOutcomes(
                service,
                outcomes.byKey().entrySet().stream()
                        .map(entry -> toOutcomeCounts(entry.getKey(), entry.getValue()))
                        .toList());
    }

    /**
     * Converts a frame to call outcomes.
     *
     * @param frame the frame
     * @return the call outcomes
     */
    public static CallOutcomes fromFrame(Frame.CallOutcomes frame) {
        Map<CallOutcomesKey, OutcomeCounts> countsByKey = new HashMap<>();
        for (Frame.OutcomeCounts counts : frame.counts()) {
            countsByKey.merge(
                    new CallOutcomesKey(counts.version(), counts.route(), counts.zone()),
                    new OutcomeCounts(
                            counts.calls(),
                            toCountVector(counts.failuresByKind(), FailureKind.COUNT),
                            new LatencyHistogram(toCountVector(counts.callsByLatency(), LatencyHistogram.BUCKETS))),
                    OutcomeCounts::plus);
        }
        return new CallOutcomes(countsByKey);
    }

    private static Frame.OutcomeCounts toOutcomeCounts(CallOutcomesKey key, OutcomeCounts counts) {
        return new Frame.OutcomeCounts(
                key.version(),
                key.route(),
                key.zone(),
                counts.calls(),
                toList(counts.failuresByKind()),
                toList(counts.latency().counts()));
    }

    private static List<Long> toList(CountVector counts) {
        return IntStream.range(0, counts.size()).mapToObj(counts::at).toList();
    }

    /**
     * A sender of another release may have fewer or more counters; extra values are ignored and missing ones are zero.
     */
    private static CountVector toCountVector(List<Long> values, int size) {
        long[] counts = new long[size];
        for (int i = 0; i < Math.min(size, values.size()); i++) {
            counts[i] = values.get(i);
        }
        return CountVector.of(counts);
    }
}

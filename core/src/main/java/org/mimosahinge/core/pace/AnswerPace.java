package org.mimosahinge.core.pace;

import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.core.admission.SlotTimeAverages;

/**
 * Estimates for how long calls occupy a slot of one endpoint at present, from the calls that have ended and from the
 * ages of those that run; not thread-safe.
 *
 * <p>A backend server that has started, or has turned slow, ends no call for a while. The ages of its running calls tell
 * how slow it is at least, and a server that recovers ends them at once, so the estimate follows it both ways without
 * an assumed time.
 */
public final class AnswerPace {

    /** The mean of ended calls counts as this many running ones, so that one long call does not look like a slow server. */
    private static final double WEIGHT_OF_MEAN = 2;

    private static final CallClass[] CLASSES = CallClass.values();

    private final SlotTimeAverages ended;
    private final int[] running = new int[CLASSES.length];
    private final long[] startSumsMs = new long[CLASSES.length];

    /**
     * Creates an estimate of an endpoint without running calls.
     *
     * @param ended means of its ended calls
     */
    public AnswerPace(SlotTimeAverages ended) {
        this.ended = ended;
    }

    /**
     * Adds a running call.
     *
     * @param callClass its class
     * @param startedMs time at which it got its slot
     */
    public void started(CallClass callClass, long startedMs) {
        running[callClass.ordinal()]++;
        startSumsMs[callClass.ordinal()] += startedMs;
    }

    /**
     * Removes a running call, whether it was answered or not.
     *
     * @param callClass its class
     * @param startedMs time at which it got its slot
     */
    public void stopped(CallClass callClass, long startedMs) {
        running[callClass.ordinal()]--;
        startSumsMs[callClass.ordinal()] -= startedMs;
    }

    /**
     * Returns the expected slot time over all classes.
     *
     * @param nowMs the current time
     * @return milliseconds
     */
    public double overallMs(long nowMs) {
        return ended.anyAnswered() ? ended.overallMs() * slowdown(nowMs) : Math.max(ended.overallMs(), meanAge(nowMs));
    }

    /**
     * Returns the expected slot time of one class. Before the first answer only the calls of that class count: internal
     * checks are much shorter than the calls that make them, and refusing one wastes the work of such a call.
     *
     * @param callClass the class
     * @param nowMs the current time
     * @return milliseconds
     */
    public double classMs(CallClass callClass, long nowMs) {
        if (ended.anyAnswered()) {
            return ended.classMs(callClass) * slowdown(nowMs);
        }
        int index = callClass.ordinal();
        double meanAgeMs = running[index] == 0 ? 0 : agesMs(index, nowMs) / running[index];
        return Math.max(ended.classMs(callClass), meanAgeMs);
    }

    /**
     * Returns how much slower the backend server is than the calls that ended tell.
     *
     * @param nowMs the current time
     * @return 1 while the running calls are no older than ended ones were
     */
    public double slowdown(long nowMs) {
        double agesMs = WEIGHT_OF_MEAN * ended.overallMs();
        double expectedMs = agesMs;
        for (int i = 0; i < CLASSES.length; i++) {
            agesMs += agesMs(i, nowMs);
            expectedMs += running[i] * ended.classMs(CLASSES[i]);
        }
        return expectedMs > 0 ? Math.max(1, agesMs / expectedMs) : 1;
    }

    private double meanAge(long nowMs) {
        double agesMs = 0;
        int calls = 0;
        for (int i = 0; i < CLASSES.length; i++) {
            agesMs += agesMs(i, nowMs);
            calls += running[i];
        }
        return calls == 0 ? 0 : agesMs / calls;
    }

    private double agesMs(int classIndex, long nowMs) {
        return (double) running[classIndex] * nowMs - startSumsMs[classIndex];
    }
}

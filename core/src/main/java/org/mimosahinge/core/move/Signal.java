package org.mimosahinge.core.move;

import java.util.function.ToLongFunction;
import org.mimosahinge.core.move.Finding.Code;

/** What is counted against a version; each signal has its own sequential test. */
@SuppressWarnings("ImmutableEnumChecker") // The margins are records of numbers and the lambdas hold no state.
public enum Signal {
    /** Failed calls, against a rate of a few times the old version's. */
    FAILURES(0, Code.MORE_ERRORS, Signal::failures, new Margin(1.5, 0.002, 4, 0.5)),
    /** Failed calls, against a far higher rate, which few calls suffice to show. */
    SEVERE_FAILURES(1, Code.MORE_ERRORS, Signal::failures, new Margin(1.5, 0.002, 20, 0.5)),
    /** Failures that no network causes; they count even when they show in one zone only. */
    SERVER_FAILURES(2, Code.MORE_ERRORS, Signal::serverFailures, new Margin(1.5, 0.002, 20, 0.5)),
    /** Calls slower than nine in ten of the old version's. */
    SLOW(3, Code.SLOWER, null, new Margin(1.5, 0.02, 3, 0.2)),
    /** Calls slower than 99 in 100 of the old version's. */
    SLOW_TAIL(4, Code.SLOWER, null, new Margin(2, 0.01, 6, 0.2)),
    /** Calls shed; old backend servers under load shed too, so the margin is wide. */
    SHED(5, Code.MORE_SHED, counts -> counts.failureCount(FailureKind.SHED), new Margin(2, 0.02, 6, 0.2)),
    /** Calls rejected with 4xx; the ratio is low because callers err often on good versions too. */
    CALLER_ERRORS(
            6,
            Code.MORE_CALLER_ERRORS,
            counts -> counts.failureCount(FailureKind.CALLER_ERROR),
            new Margin(1.5, 0.01, 3, 0.2));

    /**
     * Weight of one crash in failed calls.
     *
     * <p>A crash loses up to a slot count of calls but is recorded once. Two crashes, the most that one poison request
     * causes before it is refused, stay below the alarm threshold at this weight; three do not.
     */
    private static final int CRASH_WEIGHT = 2;

    /** Number of signals. */
    static final int COUNT = values().length;

    private final int index;
    private final Code code;
    private final ToLongFunction<OutcomeCounts> hitCounter;
    private final Margin margin;

    Signal(int index, Code code, ToLongFunction<OutcomeCounts> hitCounter, Margin margin) {
        this.index = index;
        this.code = code;
        this.hitCounter = hitCounter;
        this.margin = margin;
    }

    /**
     * What separates a good version from a bad one.
     *
     * @param tolerance factor above the old version's rate that is still good
     * @param allowance rate above that which is still good
     * @param ratio factor above the tolerated rate that the test looks for
     * @param maxPeriodFraction largest part of the alarm threshold that one period may contribute; calls that fail together in one
     *     hiccup are not independent evidence
     */
    record Margin(double tolerance, double allowance, double ratio, double maxPeriodFraction) {}

    /** Returns the position in lists by signal. */
    int index() {
        return index;
    }

    Code code() {
        return code;
    }

    Margin margin() {
        return margin;
    }

    boolean isLatency() {
        return hitCounter == null;
    }

    /** Returns the quantile of the old version's latency that a slow call exceeds. */
    double quantile() {
        return this == SLOW ? 0.9 : 0.99;
    }

    /** Returns the calls of the old version from which the quantile can be read. */
    long minOldCalls() {
        return Math.round(2 / (1 - quantile()));
    }

    /** Returns the old version's rate that is assumed before it has calls. */
    double priorRate() {
        return isLatency() ? 1 - quantile() : 0.01;
    }

    long hits(OutcomeCounts counts, int firstSlowBucket) {
        return isLatency() ? counts.latency().countFrom(firstSlowBucket) : hitCounter.applyAsLong(counts);
    }

    long trials(OutcomeCounts counts) {
        return isLatency()
                ? counts.latency().total()
                : counts.calls() - counts.failureCount(FailureKind.CRASH_COLLATERAL);
    }

    private static long failures(OutcomeCounts counts) {
        return serverFailures(counts)
                + counts.failureCount(FailureKind.CONNECTION_LOSS)
                + counts.failureCount(FailureKind.TIMEOUT);
    }

    private static long serverFailures(OutcomeCounts counts) {
        return counts.failureCount(FailureKind.SERVER_ERROR) + CRASH_WEIGHT * counts.failureCount(FailureKind.CRASH);
    }
}

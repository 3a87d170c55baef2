package org.mimosahinge.core.move;

import java.util.function.ToLongFunction;
import org.mimosahinge.core.move.Finding.Code;

/** A kind of undesired outcome that is compared between versions; each signal has its own sequential test. */
@SuppressWarnings("ImmutableEnumChecker") // The margins are records of numbers and the lambdas hold no state.
public enum Signal {
    /** Failed calls, tested for a few times the tolerable rate. */
    FAILURES(0, Code.MORE_ERRORS, Signal::failures, new Margin(1.5, 0.002, 4, 0.5)),
    /** Failed calls, tested for a far higher rate, which few calls are enough to detect. */
    SEVERE_FAILURES(1, Code.MORE_ERRORS, Signal::failures, new Margin(1.5, 0.002, 20, 0.5)),
    /** Failures that the network cannot cause, so they count even when they occur in one zone only. */
    SERVER_FAILURES(2, Code.MORE_ERRORS, Signal::serverFailures, new Margin(1.5, 0.002, 20, 0.5)),
    /** Calls slower than nine in ten of the old version's. */
    SLOW(3, Code.SLOWER, null, new Margin(1.5, 0.02, 3, 0.2)),
    /** Calls slower than 99 in 100 of the old version's. */
    SLOW_TAIL(4, Code.SLOWER, null, new Margin(2, 0.01, 6, 0.2)),
    /** Calls shed by the backend server; the margin is wide because good backend servers shed under load as well. */
    SHED(5, Code.MORE_SHED, counts -> counts.failureCount(FailureKind.SHED), new Margin(2, 0.02, 6, 0.2)),
    /** Calls rejected with 4xx; the ratio is low because callers make many errors with good versions as well. */
    CALLER_ERRORS(
            6,
            Code.MORE_CALLER_ERRORS,
            counts -> counts.failureCount(FailureKind.CALLER_ERROR),
            new Margin(1.5, 0.01, 3, 0.2));

    /**
     * Number of failed calls that one crash counts as.
     *
     * <p>A crash loses as many calls as the backend server has slots but is recorded once. With this weight, two
     * crashes stay below the alarm threshold and three exceed it; one poison request causes at most two before it is
     * refused.
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
     * Parameters that separate a good version from a faulty one.
     *
     * @param tolerance factor on the old version's rate that is tolerable
     * @param allowance rate that is tolerable in addition
     * @param ratio factor on the tolerable rate that the test looks for
     * @param maxPeriodFraction largest fraction of the alarm threshold that one period may contribute, because calls
     *     that fail together in a short disturbance are not independent
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

    /** Returns the quantile of the old version's latency above which a call counts as slow. */
    double quantile() {
        return this == SLOW ? 0.9 : 0.99;
    }

    /** Returns the number of calls of the old version that are needed to estimate the quantile. */
    long minOldCalls() {
        return Math.round(2 / (1 - quantile()));
    }

    /** Returns the rate that is assumed for the old version before it has calls. */
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

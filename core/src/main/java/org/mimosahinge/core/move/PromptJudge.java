package org.mimosahinge.core.move;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Finds out within seconds whether a version is worse than the others, from failures and slow calls of each class.
 *
 * <p>A fault must be both frequent, since a rare one does as little harm as waiting, and far beyond what chance
 * explains.
 */
final class PromptJudge {

    /** Failures beyond the old version's that count as a fault, as a share of the calls. */
    private static final double MORE_FAILURES = 0.1;

    private static final long LEAST_FAILURES = 4;

    /** Slow calls beyond the old version's that count as a fault, as a share of the calls. */
    private static final double MORE_SLOW = 0.15;

    private static final long LEAST_SLOW = 6;

    /** Calls of the old version from which its latencies are known well enough. */
    private static final long LEAST_OLD = 30;

    /** Standard deviations beyond chance; about one false alarm in thousands of moves. */
    private static final double DEVIATIONS = 3.5;

    /** A call is slow when it takes longer than this share of the old version's calls, and half as long again. */
    private static final double USUAL_QUANTILE = 0.95;

    private static final int BUCKETS_ABOVE = 1;

    private PromptJudge() {}

    static Optional<String> fault(Evidence evidence, String to) {
        Set<String> routes =
                evidence.tallies().keySet().stream().map(EvidenceKey::route).collect(Collectors.toUnmodifiableSet());
        for (String route : routes) {
            Tally fresh = evidence.total(
                    key -> key.version().equals(to) && key.route().equals(route));
            Tally old = evidence.total(
                    key -> !key.version().equals(to) && key.route().equals(route));
            if (failsMore(fresh, old)) {
                return Optional.of("failures of " + route + ": " + failures(fresh) + " of " + fresh.calls() + " calls");
            }
            if (isSlower(fresh, old)) {
                return Optional.of("slow calls of " + route + " among " + fresh.calls());
            }
        }
        return Optional.empty();
    }

    private static boolean failsMore(Tally fresh, Tally old) {
        double usual = old.calls() == 0 ? 0 : failures(old) / (double) old.calls();
        return exceeds(failures(fresh), fresh.calls(), usual, LEAST_FAILURES, MORE_FAILURES);
    }

    private static boolean isSlower(Tally fresh, Tally old) {
        long oldCalls = old.latency().total();
        if (oldCalls < LEAST_OLD) {
            return false;
        }
        int bucket = Math.min(LatencyHistogram.BUCKETS, old.latency().bucketAbove(USUAL_QUANTILE) + BUCKETS_ABOVE);
        double usual = old.latency().countFrom(bucket) / (double) oldCalls;
        return exceeds(fresh.latency().countFrom(bucket), fresh.latency().total(), usual, LEAST_SLOW, MORE_SLOW);
    }

    private static boolean exceeds(long bad, long calls, double usual, long least, double more) {
        double deviation = Math.sqrt(Math.max(0.01, usual) * (1 - Math.min(0.99, usual)) / Math.max(1, calls));
        return bad >= least && bad / (double) calls > usual + Math.max(more, DEVIATIONS * deviation);
    }

    private static long failures(Tally tally) {
        return tally.failed(FailureKind.SERVER_ERROR)
                + tally.failed(FailureKind.CONNECTION_LOSS)
                + tally.failed(FailureKind.CRASH)
                + tally.failed(FailureKind.TIMEOUT);
    }
}

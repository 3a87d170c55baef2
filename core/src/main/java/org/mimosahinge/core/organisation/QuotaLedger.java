package org.mimosahinge.core.organisation;

/**
 * What a coordinator knows of an organisation's calls on all nodes.
 *
 * @param bucket calls that may be admitted
 * @param demand rate at which calls arrive, admitted or not
 * @param refused rate at which calls are refused
 */
public record QuotaLedger(QuotaBucket bucket, DecayingRate demand, DecayingRate refused) {

    /** Time in which saved-up calls may be admitted: above the time after which a report shows that they were. */
    private static final double SPENDING_S = 0.5;

    /** Time in which most of a debt is paid back, well below the window in which a quota is checked. */
    private static final double REPAYMENT_S = 1.5;

    /** Longest wait that is announced; callers give up rather than wait longer. */
    private static final double MAX_ANNOUNCED_S = 5;

    private static final int MS_PER_S = 1_000;

    /**
     * Returns the ledger of a coordinator that knows nothing of earlier calls.
     *
     * @param limit limit of the organisation
     * @param nowMs the time
     * @return the ledger
     */
    public static QuotaLedger initial(QuotaLimit limit, long nowMs) {
        return new QuotaLedger(
                QuotaBucket.initial(limit, nowMs), new DecayingRate(0, nowMs), new DecayingRate(0, nowMs));
    }

    /**
     * Adds the calls of a report.
     *
     * @param limit limit of the organisation
     * @param use calls since the node's last report
     * @param nowMs the time
     * @return the ledger
     */
    public QuotaLedger with(QuotaLimit limit, QuotaCount use, long nowMs) {
        return new QuotaLedger(
                bucket.refilled(limit, nowMs).used(use.admitted()),
                demand.with(Math.max(0, use.admitted() + use.refused()), nowMs),
                refused.with(use.refused(), nowMs));
    }

    /**
     * Decides what the nodes may admit until they are told otherwise.
     *
     * @param limit limit of the organisation
     * @param nowMs the time
     * @return the share of the arriving calls
     */
    public QuotaShare share(QuotaLimit limit, long nowMs) {
        double level = bucket.refilled(limit, nowMs).level();
        double admissionPerS = Math.max(0, limit.callsPerS() + level / (level > 0 ? SPENDING_S : REPAYMENT_S));
        double demandPerS = demand.perS(nowMs);
        if (demandPerS <= admissionPerS) {
            return QuotaShare.ALL;
        }
        double waitS = Math.max(0, -level) / limit.callsPerS();
        double spreadS = refused.perS(nowMs) / limit.callsPerS();
        return new QuotaShare(
                (int) (QuotaShare.ALL_PERMILLE * admissionPerS / demandPerS),
                milliseconds(waitS),
                milliseconds(spreadS));
    }

    private static int milliseconds(double seconds) {
        return (int) (Math.min(MAX_ANNOUNCED_S, seconds) * MS_PER_S);
    }
}

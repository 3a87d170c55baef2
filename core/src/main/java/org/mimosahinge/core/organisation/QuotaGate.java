package org.mimosahinge.core.organisation;

import org.mimosahinge.core.routing.RandomSource;

/**
 * Admits or refuses the calls of one organisation at one node.
 *
 * <p>A node never admits more than the whole quota by itself. Below that it admits the share that its coordinator
 * tells, and without a coordinator the fixed part of one node.
 *
 * @param limits the organisation's limit and the part of one node
 * @param whole bucket of the whole limit, counted at this node only
 * @param part bucket of this node's fixed part
 * @param guidance what the coordinator told
 * @param count calls at this node since its start
 */
public record QuotaGate(
        QuotaGateLimits limits, QuotaBucket whole, QuotaBucket part, QuotaGuidance guidance, QuotaCount count) {

    /**
     * Time without a word of the coordinator after which a node uses its fixed part. The part is less than one call for
     * small organisations, so a coordinator that pauses for a second must not make all nodes use it.
     */
    public static final long SILENCE_MS = 2_000;

    /** Wait of callers that are refused without a coordinator; by then another one has taken over. */
    private static final int WAIT_WITHOUT_COORDINATOR_MS = 1_000;

    private static final int DITHER_STEPS = 1 << 20;

    /**
     * Returns the gate of a node that has just learned of an organisation's quota.
     *
     * @param limits the organisation's limit and the part of one node
     * @param nowMs the time
     * @param random spreads the first calls that nodes admit on their own
     * @return the gate, which admits as if no call had been made
     */
    public static QuotaGate initial(QuotaGateLimits limits, long nowMs, RandomSource random) {
        return new QuotaGate(
                limits,
                new QuotaBucket(limits.whole().capacity(), nowMs),
                partAt(limits, nowMs, random),
                new QuotaGuidance(QuotaShare.ALL, nowMs, 0),
                QuotaCount.ZERO);
    }

    /** Starts the fixed part with a random fraction of a call, since most parts are less than one. */
    private static QuotaBucket partAt(QuotaGateLimits limits, long nowMs, RandomSource random) {
        return new QuotaBucket(limits.part().capacity() + dither(random), nowMs);
    }

    private static double dither(RandomSource random) {
        return (double) random.nextInt(DITHER_STEPS) / DITHER_STEPS;
    }

    /**
     * Applies a changed quota or number of nodes.
     *
     * @param changed the new limits
     * @param nowMs the time
     * @return the gate
     */
    public QuotaGate withLimits(QuotaGateLimits changed, long nowMs) {
        return changed.equals(limits)
                ? this
                : new QuotaGate(changed, whole.refilled(changed.whole(), nowMs), part, guidance, count);
    }

    /**
     * Applies what the coordinator tells.
     *
     * @param share the share of arriving calls
     * @param nowMs the time
     * @param random spreads the first calls over the nodes
     * @return the gate
     */
    public QuotaGate told(QuotaShare share, long nowMs, RandomSource random) {
        // With the same fraction of a call saved up everywhere, all nodes would admit their first calls together.
        double credit = guidance.share().limited() ? guidance.credit() : dither(random);
        return new QuotaGate(
                limits, whole, partAt(limits, nowMs, random), new QuotaGuidance(share, nowMs, credit), count);
    }

    /**
     * Returns whether a call that arrives now is admitted.
     *
     * @param nowMs the time
     * @return true if it is admitted
     */
    public boolean admits(long nowMs) {
        boolean underWhole = whole.refilled(limits.whole(), nowMs).level() >= 1;
        return underWhole
                && (coordinated(nowMs)
                        ? guidance.admits()
                        : part.refilled(limits.partCeiling(), nowMs).level() >= 1);
    }

    /**
     * Returns the gate after a call has arrived.
     *
     * @param nowMs the time
     * @return the gate after the call was admitted or refused
     */
    public QuotaGate afterArrival(long nowMs) {
        QuotaBucket wholeNow = whole.refilled(limits.whole(), nowMs);
        QuotaBucket partNow = coordinated(nowMs) ? part : part.refilled(limits.partCeiling(), nowMs);
        QuotaGuidance next = guidance.share().limited() && coordinated(nowMs) ? guidance.arrived() : guidance;
        if (!admits(nowMs)) {
            return new QuotaGate(limits, wholeNow, partNow, next, count.refusedOne());
        }
        return new QuotaGate(
                limits,
                wholeNow.used(1),
                coordinated(nowMs) ? partNow : partNow.used(1),
                next.share().limited() && coordinated(nowMs) ? next.withCredit(next.credit() - 1) : next,
                count.admittedOne());
    }

    /**
     * Returns the gate after an admitted call was refused further on as not run.
     *
     * @return the gate
     */
    public QuotaGate givenBack() {
        return new QuotaGate(
                limits,
                whole.used(-1),
                part.used(-1),
                guidance.withCredit(guidance.credit() + 1),
                count.givenBackOne());
    }

    /**
     * Returns whether the coordinator was heard recently.
     *
     * @param nowMs the time
     * @return false if this node uses its fixed part
     */
    public boolean coordinated(long nowMs) {
        return nowMs - guidance.heardMs() < SILENCE_MS;
    }

    /**
     * Returns the time after which a refused caller is likely to be admitted, spread over the time that the callers
     * refused with it need.
     *
     * @param nowMs the time
     * @param random spreads the callers
     * @return milliseconds
     */
    public long retryAfterMs(long nowMs, RandomSource random) {
        QuotaShare share = guidance.share();
        boolean told = coordinated(nowMs) && share.limited();
        int waitMs = told ? share.waitMs() : WAIT_WITHOUT_COORDINATOR_MS;
        int spreadMs = told ? share.spreadMs() : WAIT_WITHOUT_COORDINATOR_MS;
        long wholeMs = whole.refilled(limits.whole(), nowMs).waitMs(limits.whole());
        return Math.max(1, Math.max(waitMs, wholeMs) + random.nextInt(spreadMs + 1));
    }
}

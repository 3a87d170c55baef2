package org.mimosahinge.core.organisation;

/**
 * What a node was last told about an organisation by its coordinator.
 *
 * @param share the share of the arriving calls that it admits
 * @param heardMs when it was told
 * @param credit part of a call that the share has earned since the last one was admitted
 */
record QuotaGuidance(QuotaShare share, long heardMs, double credit) {

    /** Calls that may be saved up, so that calls which are given back are admitted again. */
    private static final double MAX_CREDIT = 3;

    QuotaGuidance arrived() {
        return withCredit(credit + (double) share.permille() / QuotaShare.ALL_PERMILLE);
    }

    QuotaGuidance withCredit(double next) {
        return new QuotaGuidance(share, heardMs, Math.min(MAX_CREDIT, next));
    }

    /** Returns whether a call that arrives now is in the share. */
    boolean admits() {
        return !share.limited() || arrived().credit >= 1;
    }
}

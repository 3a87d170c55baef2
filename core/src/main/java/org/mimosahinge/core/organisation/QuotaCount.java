package org.mimosahinge.core.organisation;

/**
 * Numbers of an organisation's calls at a node.
 *
 * @param admitted calls that were admitted and not given back
 * @param refused calls that were refused for the quota
 */
public record QuotaCount(long admitted, long refused) {

    /** No calls. */
    public static final QuotaCount ZERO = new QuotaCount(0, 0);

    /**
     * Returns the calls since an earlier count.
     *
     * @param earlier the earlier count
     * @return the difference; admitted is negative if more calls were given back than admitted
     */
    public QuotaCount since(QuotaCount earlier) {
        return new QuotaCount(admitted - earlier.admitted, refused - earlier.refused);
    }

    QuotaCount admittedOne() {
        return new QuotaCount(admitted + 1, refused);
    }

    QuotaCount refusedOne() {
        return new QuotaCount(admitted, refused + 1);
    }

    QuotaCount givenBackOne() {
        return new QuotaCount(admitted - 1, refused);
    }
}

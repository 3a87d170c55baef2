package org.mimosahinge.core.organisation;

/**
 * What a coordinator allows each node to admit of an organisation's calls: a part of those that arrive there, so that
 * each node gets its allowance in proportion to its present demand.
 *
 * @param permille part of the arriving calls that a node admits
 * @param waitMs time until a refused caller may be admitted
 * @param spreadMs time that the refused callers need after that to be admitted one after the other
 */
public record QuotaShare(int permille, int waitMs, int spreadMs) {

    /** Part that admits all calls. */
    public static final int ALL_PERMILLE = 1_000;

    /** The share while an organisation is below its quota. */
    public static final QuotaShare ALL = new QuotaShare(ALL_PERMILLE, 0, 0);

    /**
     * Returns whether some calls are refused.
     *
     * @return false if a node admits all calls
     */
    public boolean limited() {
        return permille < ALL_PERMILLE;
    }
}

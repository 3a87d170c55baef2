package org.mimosahinge.core.organisation;

/**
 * Token bucket of an organisation. Its level is negative while more was admitted than the limit allows.
 *
 * @param level calls that may be admitted
 * @param atMs time of the level
 */
public record QuotaBucket(double level, long atMs) {

    private static final double MS_PER_S = 1_000;

    /**
     * Returns the bucket of a coordinator that knows nothing of earlier calls.
     *
     * @param limit the limit
     * @param nowMs the time
     * @return a half-full bucket
     */
    public static QuotaBucket initial(QuotaLimit limit, long nowMs) {
        return new QuotaBucket(limit.capacity() / 2, nowMs);
    }

    /**
     * Returns the bucket at a later time.
     *
     * @param limit the limit in force, which may have changed
     * @param nowMs the time
     * @return the bucket with the calls that became available since then
     */
    public QuotaBucket refilled(QuotaLimit limit, long nowMs) {
        double added = Math.max(0, nowMs - atMs) / MS_PER_S * limit.callsPerS();
        return new QuotaBucket(Math.min(limit.capacity(), level + added), Math.max(atMs, nowMs));
    }

    /**
     * Returns the bucket after calls were admitted.
     *
     * @param calls number of calls, negative when calls that did not run are given back
     * @return the bucket
     */
    public QuotaBucket used(double calls) {
        return new QuotaBucket(level - calls, atMs);
    }

    /**
     * Returns the time until a call may be admitted.
     *
     * @param limit the limit in force
     * @return milliseconds
     */
    public long waitMs(QuotaLimit limit) {
        return level >= 1 ? 0 : (long) Math.ceil((1 - level) / limit.callsPerS() * MS_PER_S);
    }
}

package org.mimosahinge.core.lease;

import java.util.OptionalLong;

/**
 * Decides which nodes of a zone read the relay's lease row to take it over.
 *
 * <p>If every node read it once a second, 4,800 nodes would exceed the platform's reads. A few nodes of the lowest ranks
 * suffice after a single failure. When they have failed together with the relay, nodes notice that they stay without a
 * parent and start to read as well.
 */
public final class LeaseCandidacy {
    /** Interval of reads. Half a second keeps a takeover within 3.5 s of the holder's last renewal plus round trips. */
    public static final long READ_INTERVAL_MS = 500;

    private static final int MAX_CANDIDATE_RANK = 4;
    // An orphan first tries all candidates for its parent; a shorter time would turn each lost parent into reads.
    private static final long MIN_ORPHANED_MS = 3_000;

    private LeaseCandidacy() {}

    /**
     * Decides for one node.
     *
     * @param rank the node's rank in its zone; 0 is the relay, which learns of the row by its own renewals
     * @param orphanedMs how long the node has been without a parent, empty when it has one
     * @return whether the node reads the lease row
     */
    public static boolean readsLeaseRow(int rank, OptionalLong orphanedMs) {
        return (rank >= 1 && rank <= MAX_CANDIDATE_RANK)
                || (orphanedMs.isPresent() && orphanedMs.getAsLong() >= MIN_ORPHANED_MS);
    }
}

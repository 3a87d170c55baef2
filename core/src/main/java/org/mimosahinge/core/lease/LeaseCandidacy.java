package org.mimosahinge.core.lease;

import java.util.OptionalLong;

/**
 * Decides which nodes of a zone poll the relay's lease row in order to take the lease over.
 *
 * <p>Polling by all of 4,800 nodes once a second would exceed the read capacity of the platform. After a single failure
 * the few nodes of lowest rank suffice. If they fail together with the relay, the other nodes remain without a parent
 * and start polling as well.
 */
public final class LeaseCandidacy {
    /** Polling interval; limits a takeover to 3.5 s after the holder's last renewal, plus round trips. */
    public static final long READ_INTERVAL_MS = 500;

    private static final int MAX_CANDIDATE_RANK = 4;
    // A node without a parent first tries all candidates; with a shorter time each lost parent would cause reads.
    private static final long MIN_ORPHANED_MS = 3_000;

    private LeaseCandidacy() {}

    /**
     * Decides for one node.
     *
     * @param rank the node's rank in its zone; 0 is the relay, which receives the row with its renewals
     * @param orphanedMs how long the node has been without a parent, empty if it has one
     * @return whether the node reads the lease row
     */
    public static boolean readsLeaseRow(int rank, OptionalLong orphanedMs) {
        return (rank >= 1 && rank <= MAX_CANDIDATE_RANK)
                || (orphanedMs.isPresent() && orphanedMs.getAsLong() >= MIN_ORPHANED_MS);
    }
}

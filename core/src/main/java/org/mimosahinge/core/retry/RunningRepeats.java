package org.mimosahinge.core.retry;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * The calls that run at a node's backend server and how many of them are repeats.
 *
 * <p>A backend server's own calls carry nothing that tells which running call made them. Each is therefore taken as a
 * repeat with the probability that a running call is one. Traffic threads of the node share an instance.
 */
public final class RunningRepeats {

    /** Value of a call that certainly is a repeat. */
    public static final int CERTAIN_PERMILLE = 1_000;

    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger permilleSum = new AtomicInteger();

    /**
     * Counts a call that starts to run.
     *
     * @param repeatPermille probability that it is a repeat
     */
    public void started(int repeatPermille) {
        permilleSum.addAndGet(repeatPermille);
        running.incrementAndGet();
    }

    /**
     * Removes a call that has ended.
     *
     * @param repeatPermille the probability with which it was started
     */
    public void ended(int repeatPermille) {
        running.decrementAndGet();
        permilleSum.addAndGet(-repeatPermille);
    }

    /**
     * Returns the probability that a call made by the backend server is a repeat.
     *
     * @return the probability in permille, 0 while nothing runs
     */
    public int repeatPermille() {
        int calls = running.get();
        // Another thread may change one of the two numbers between the reads.
        return calls <= 0 ? 0 : Math.max(0, Math.min(CERTAIN_PERMILLE, permilleSum.get() / calls));
    }
}

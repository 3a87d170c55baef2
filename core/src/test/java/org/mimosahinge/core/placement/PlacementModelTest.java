package org.mimosahinge.core.placement;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against calls that queue at some endpoints while others are idle. Seen on the users' bench with 65 nodes and
 * 52 endpoints: about a third of the requests spent more than half of their aim before their first server.
 */
class PlacementModelTest {

    /** Aim of the most frequent call of that site, whose work takes 279 ms. */
    private static final double AIM_MS = 1_037;

    /** Waits up to a tenth of the aim leave time for the call's work, its variance and the way. */
    private static final double MAX_MEAN_WAIT_MS = AIM_MS / 10;

    /** A call that waits for half of its aim is late as soon as its work takes twice the mean. */
    private static final double MAX_P99_WAIT_MS = AIM_MS / 2;

    @ParameterizedTest(name = "utilisation {0}, seed {1}")
    @CsvSource({"0.7, 1", "0.75, 2", "0.75, 3", "0.8, 4"})
    void waitsStayWithinTheAim(double utilisation, long seed) {
        PlacementModel.Figures today = new PlacementModel(false, utilisation, seed).simulate();
        PlacementModel.Figures sets = new PlacementModel(true, utilisation, seed).simulate();
        String figures = "without sets " + today + ", with sets " + sets;
        assertTrue(sets.meanWaitMs() <= MAX_MEAN_WAIT_MS, figures);
        assertTrue(sets.p99WaitMs() <= MAX_P99_WAIT_MS, figures);
        assertTrue(today.meanWaitMs() > MAX_MEAN_WAIT_MS, figures);
        assertTrue(today.p99WaitMs() > MAX_P99_WAIT_MS, figures);
        assertTrue(sets.staleShare() < today.staleShare() / 2, figures);
        assertTrue(sets.utilisationSpread() < today.utilisationSpread(), figures);
    }
}

package org.mimosahinge.core.organisation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosahinge.api.contract.Organisation;
import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.api.contract.Quota;

/** Guards against organisations without a quota that are owed nothing, or everything, beside those with one. */
class OrganisationWeightsTest {

    @ParameterizedTest(name = "rates {0} and {1}: weights {2} and {3}")
    @CsvSource({"0, 0, 1, 1", "30, 10, 1.5, 0.5", "30, 0, 1, 1", "0.2, 0.6, 0.5, 1.5"})
    void weightsFollowTheRatesOfQuotas(double first, double second, double firstWeight, double secondWeight) {
        OrganisationWeights weights =
                OrganisationWeights.of(Organisations.of(List.of(organisation("a", first), organisation("b", second))));
        assertEquals(firstWeight, weights.weight("a"), 1e-9);
        assertEquals(secondWeight, weights.weight("b"), 1e-9);
        assertEquals(1, weights.weight("unknown"));
    }

    private static Organisation organisation(String name, double callsPerS) {
        return new Organisation(name, Set.of(), Optional.empty(), new Quota(callsPerS, 5), Set.of());
    }
}

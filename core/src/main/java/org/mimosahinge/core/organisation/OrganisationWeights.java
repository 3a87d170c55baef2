package org.mimosahinge.core.organisation;

import org.mimosahinge.api.contract.Organisation;
import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.api.contract.Quota;

/**
 * What organisations are owed relative to each other when they share too few slots.
 *
 * @param organisations the organisations
 * @param meanCallsPerS mean rate of those with a quota, 0 if none has one
 */
public record OrganisationWeights(Organisations organisations, double meanCallsPerS) {

    /**
     * Returns the weights of the organisations of a configuration.
     *
     * @param organisations the organisations
     * @return the weights
     */
    public static OrganisationWeights of(Organisations organisations) {
        return new OrganisationWeights(
                organisations,
                organisations.all().stream()
                        .map(Organisation::quota)
                        .filter(Quota::limited)
                        .mapToDouble(Quota::callsPerS)
                        .average()
                        .orElse(0));
    }

    /**
     * Returns the weight of an organisation.
     *
     * @param organisation its name, which need not be known
     * @return the rate of its quota relative to the mean rate, 1 without a quota
     */
    public double weight(String organisation) {
        return organisations
                .named(organisation)
                .map(Organisation::quota)
                .filter(Quota::limited)
                .map(quota -> quota.callsPerS() / meanCallsPerS)
                .orElse(1.0);
    }
}

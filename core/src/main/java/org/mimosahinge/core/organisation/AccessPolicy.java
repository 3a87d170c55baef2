package org.mimosahinge.core.organisation;

import java.util.Optional;
import org.mimosahinge.api.contract.Organisation;
import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.api.contract.Route;

/** Decides by its API key for which organisation a caller's request is made. */
public final class AccessPolicy {

    private static final String NO_KEY = "The route needs an API key";
    private static final String UNKNOWN_KEY = "No organisation has this API key";

    private AccessPolicy() {}

    /**
     * Decides on a request.
     *
     * @param organisations organisations of the configuration in force; without any, no key is needed
     * @param route the route of the request
     * @param key the caller's API key, empty without one
     * @return the decision
     */
    public static AccessDecision decide(Organisations organisations, Route route, Optional<String> key) {
        if (organisations.isEmpty() || route.access().anonymous()) {
            return new AccessDecision.Anonymous();
        }
        if (key.isEmpty()) {
            return new AccessDecision.Unknown(NO_KEY);
        }
        Optional<Organisation> holder = organisations.withKey(key.get());
        return holder.isPresent() ? new AccessDecision.Member(holder.get()) : new AccessDecision.Unknown(UNKNOWN_KEY);
    }
}

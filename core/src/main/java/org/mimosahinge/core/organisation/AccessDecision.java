package org.mimosahinge.core.organisation;

import org.mimosahinge.api.contract.Organisation;

/** Whether a caller may use a route, and for which organisation. */
public sealed interface AccessDecision {

    /** The call belongs to no organisation. */
    record Anonymous() implements AccessDecision {}

    /**
     * The call belongs to an organisation.
     *
     * @param organisation the organisation that holds the caller's key
     */
    record Member(Organisation organisation) implements AccessDecision {}

    /**
     * The caller may not use the route.
     *
     * @param reason why, without any part of a key
     */
    record Unknown(String reason) implements AccessDecision {}
}

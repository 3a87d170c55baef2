package org.mimosahinge.daemon.traffic;

import java.util.Map;
import java.util.Optional;
import org.mimosahinge.api.contract.Organisation;

/** Reads the API key of a caller and replaces it by the name of the organisation. */
final class CallerIdentity {

    private static final String SCHEME = "bearer ";

    private CallerIdentity() {}

    /** Returns the API key in a request's headers. */
    static Optional<String> key(Map<String, String> headers, CallProtocol protocol) {
        String credential = headers.getOrDefault(protocol.credentialHeader(), "");
        return credential.regionMatches(true, 0, SCHEME, 0, SCHEME.length())
                ? Optional.of(credential.substring(SCHEME.length()).strip())
                : Optional.empty();
    }

    /** Removes the key and states the organisation, which overrides the caller's own statement. */
    static void replaceKey(Map<String, String> headers, CallProtocol protocol, Optional<Organisation> organisation) {
        headers.remove(protocol.credentialHeader());
        if (organisation.isPresent()) {
            headers.put(protocol.organisationHeader(), organisation.get().name());
        } else {
            headers.remove(protocol.organisationHeader());
        }
    }
}

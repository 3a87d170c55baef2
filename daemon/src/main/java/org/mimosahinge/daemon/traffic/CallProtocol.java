package org.mimosahinge.daemon.traffic;

import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.mimosahinge.api.error.CallException;
import org.mimosahinge.api.world.ServerLoad;

/**
 * HTTP headers and statuses of calls on connections to callers and backend servers; header names are in lower case.
 *
 * @param deadlineHeader header with the number of milliseconds that the caller waits
 * @param requestIdHeader header with the id of a call, echoed in its response; empty if calls have no ids
 * @param targetHeader header with the endpoint that a call is addressed to; empty to send none
 * @param callerHeader header with the name of the calling service; empty to send none
 * @param callerService name of the service on this node's VM
 * @param refused whether a response states that the backend server has not run the call
 * @param authentic whether the backend server generated the complete response
 * @param status HTTP status with which a failure is reported to a caller
 * @param retryAfter formats a time in milliseconds as the value of the Retry-After header
 * @param credentialHeader header with the API key of a caller, as a bearer token; empty if callers have no keys
 * @param organisationHeader header that tells a backend server the organisation of a call; empty to send none
 * @param serverLoad reads the load that a backend server states in a response
 */
public record CallProtocol(
        String deadlineHeader,
        String requestIdHeader,
        String targetHeader,
        String callerHeader,
        Supplier<String> callerService,
        ResponsePredicate refused,
        ResponsePredicate authentic,
        ToIntFunction<CallException> status,
        LongFunction<String> retryAfter,
        String credentialHeader,
        String organisationHeader,
        Function<Map<String, String>, Optional<ServerLoad>> serverLoad) {

    /** The headers of this product. */
    public static final CallProtocol STANDARD = builder().build();

    /**
     * Creates a builder that is initialized with the headers of this product.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds a protocol. */
    public static final class Builder {

        private static final long MS_PER_SECOND = 1_000;

        private String deadlineHeader = HeaderMaps.DEADLINE_HEADER;
        private String requestIdHeader = "";
        private String targetHeader = "";
        private String callerHeader = "";
        private Supplier<String> callerService = () -> "";
        private ResponsePredicate refused =
                (status, headers) -> status == 503 && HeaderMaps.NOT_RUN.equals(headers.get(HeaderMaps.OUTCOME_HEADER));
        private ResponsePredicate authentic = (status, headers) -> true;
        private ToIntFunction<CallException> status = failure -> failure.code().httpStatus();
        private LongFunction<String> retryAfter = ms -> Long.toString((ms + MS_PER_SECOND - 1) / MS_PER_SECOND);

        private String credentialHeader = HeaderMaps.CREDENTIAL_HEADER;
        private String organisationHeader = HeaderMaps.ORGANISATION_HEADER;
        private Function<Map<String, String>, Optional<ServerLoad>> serverLoad = headers -> Optional.empty();

        private Builder() {}

        /**
         * Sets the headers of organisations.
         *
         * @param credential name of the header with a caller's API key
         * @param organisation name of the header with the organisation of a call
         * @return this builder
         */
        public Builder organisationHeaders(String credential, String organisation) {
            credentialHeader = credential;
            organisationHeader = organisation;
            return this;
        }

        /**
         * Sets how the load of a backend server is read from the headers of its responses.
         *
         * @param reader reads the load, empty if a response states none
         * @return this builder
         */
        public Builder serverLoad(Function<Map<String, String>, Optional<ServerLoad>> reader) {
            serverLoad = reader;
            return this;
        }

        /**
         * Sets the headers of a request.
         *
         * @param deadline name of the deadline header
         * @param requestId name of the request id header
         * @return this builder
         */
        public Builder requestHeaders(String deadline, String requestId) {
            deadlineHeader = deadline;
            requestIdHeader = requestId;
            return this;
        }

        /**
         * Sets the header that names the endpoint.
         *
         * @param target name of the header
         * @return this builder
         */
        public Builder targetHeader(String target) {
            targetHeader = target;
            return this;
        }

        /**
         * Sets the header that names the calling service.
         *
         * @param caller name of the header
         * @param service name of the service on this node's VM
         * @return this builder
         */
        public Builder caller(String caller, Supplier<String> service) {
            callerHeader = caller;
            callerService = service;
            return this;
        }

        /**
         * Sets how responses of backend servers are classified.
         *
         * @param isNotRun whether a response states that the call was not run
         * @param isAuthentic whether the backend server generated the complete response
         * @return this builder
         */
        public Builder responses(ResponsePredicate isNotRun, ResponsePredicate isAuthentic) {
            refused = isNotRun;
            authentic = isAuthentic;
            return this;
        }

        /**
         * Sets how failures are reported to callers.
         *
         * @param ofFailure HTTP status of a failure
         * @param format formats a time in milliseconds as the value of the Retry-After header
         * @return this builder
         */
        public Builder failures(ToIntFunction<CallException> ofFailure, LongFunction<String> format) {
            status = ofFailure;
            retryAfter = format;
            return this;
        }

        /**
         * Builds the protocol.
         *
         * @return the protocol
         */
        public CallProtocol build() {
            return new CallProtocol(
                    deadlineHeader,
                    requestIdHeader,
                    targetHeader,
                    callerHeader,
                    callerService,
                    refused,
                    authentic,
                    status,
                    retryAfter,
                    credentialHeader,
                    organisationHeader,
                    serverLoad);
        }
    }
}

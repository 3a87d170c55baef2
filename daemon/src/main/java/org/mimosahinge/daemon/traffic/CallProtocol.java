package org.mimosahinge.daemon.traffic;

import java.util.function.LongFunction;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.mimosahinge.api.error.CallException;

/**
 * How calls are marked on HTTP connections to callers and backend servers; names are in lower case.
 *
 * @param deadlineHeader carries the milliseconds that the caller will wait
 * @param requestIdHeader carries the id of a call, echoed in its response; empty when calls have none
 * @param targetHeader tells a backend server for which endpoint a call is meant; empty when none does
 * @param callerHeader tells a backend server which service calls; empty when none does
 * @param callerService the service on this node's VM
 * @param refused whether a backend server states by its response that it has not run the call
 * @param authentic whether a response is one that the backend server made as a whole
 * @param status HTTP status that tells a caller of a failure
 * @param retryAfter writes a time in milliseconds as the value of the Retry-After header
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
        LongFunction<String> retryAfter) {

    /** The product's own marks. */
    public static final CallProtocol STANDARD = builder().build();

    /**
     * Starts with the product's own marks.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Collects the marks of a protocol. */
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

        private Builder() {}

        /**
         * Sets the headers of a request.
         *
         * @param deadline name of the deadline's header
         * @param requestId name of the id's header
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
         * Sets how the calling service is told.
         *
         * @param caller name of the header
         * @param service the service on this node's VM
         * @return this builder
         */
        public Builder caller(String caller, Supplier<String> service) {
            callerHeader = caller;
            callerService = service;
            return this;
        }

        /**
         * Sets how responses are judged.
         *
         * @param isNotRun whether a response states that the call has not run
         * @param isAuthentic whether a response is one that the backend server made as a whole
         * @return this builder
         */
        public Builder responses(ResponsePredicate isNotRun, ResponsePredicate isAuthentic) {
            refused = isNotRun;
            authentic = isAuthentic;
            return this;
        }

        /**
         * Sets how callers are told of failures.
         *
         * @param ofFailure HTTP status of a failure
         * @param format writes the milliseconds of a Retry-After header
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
                    retryAfter);
        }
    }
}

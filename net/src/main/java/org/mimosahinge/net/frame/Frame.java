package org.mimosahinge.net.frame;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SortedMap;
import org.mimosahinge.api.config.ConfigUpdate;
import org.mimosahinge.api.config.ContentDelta;
import org.mimosahinge.api.config.HaltMark;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.Node;

/** A message between two daemons. */
public sealed interface Frame {

    /** What a connection between two daemons is used for. */
    enum Purpose {
        /** Configuration, membership and reports. */
        CONTROL,
        /** Calls. */
        CALLS
    }

    /**
     * First frame of each connection in both directions.
     *
     * @param purpose use of the connection
     * @param node the sending node
     * @param version configuration version in force there
     * @param provenCurrent whether that node has proof that its version is current
     * @param interests services whose routes the sender's subtree needs; empty means all
     */
    record Hello(Purpose purpose, Node node, long version, boolean provenCurrent, Set<String> interests)
            implements Frame {}

    /**
     * Keeps a connection alive.
     *
     * @param sequence counts the sender's heartbeats
     */
    record Heartbeat(long sequence) implements Frame {}

    /**
     * A step to a later configuration version.
     *
     * @param update the step
     * @param headVersionAtConnect head version proven by the sender when the receiver connected; 0 without proof
     */
    record Config(ConfigUpdate update, long headVersionAtConnect) implements Frame {}

    /**
     * Asks for full state.
     *
     * @param version version held
     */
    record ConfigRequest(long version) implements Frame {}

    /**
     * Tells that the head row has moved.
     *
     * @param version the new version
     */
    record HeadHint(long version) implements Frame {}

    /**
     * States of endpoints; the highest stamp wins.
     *
     * @param endpoints the states
     */
    record Endpoints(List<Endpoint> endpoints) implements Frame {}

    /**
     * Halt marks, which are only ever added.
     *
     * @param marks the marks
     */
    record HaltMarks(Set<HaltMark> marks) implements Frame {}

    /**
     * What the sender's subtree has in force.
     *
     * @param nodesByVersion nodes of the subtree by version in force
     */
    record VersionReport(SortedMap<Long, Integer> nodesByVersion) implements Frame {}

    /**
     * Asks the node beside an endpoint to stop new work for it; passed on along the tree.
     *
     * @param endpointId the endpoint
     */
    record Drain(String endpointId) implements Frame {}

    /**
     * Outcomes of calls to one service during a move, summed over the sender's subtree since its last report.
     *
     * @param service the service
     * @param counts one entry per version, route and availability zone
     */
    record CallOutcomes(String service, List<OutcomeCounts> counts) implements Frame {}

    /**
     * Counted outcomes of calls.
     *
     * @param version the backend server version
     * @param route the route
     * @param zone availability zone of the endpoint
     * @param calls calls that ended
     * @param failuresByKind failed calls by kind
     * @param callsByLatency calls by latency bucket
     */
    record OutcomeCounts(
            String version,
            String route,
            String zone,
            long calls,
            List<Long> failuresByKind,
            List<Long> callsByLatency) {}

    /**
     * Refuses requests that have crashed backend servers; passed on along the tree.
     *
     * @param route the route
     * @param method HTTP method
     * @param uri path and query
     * @param bodyHash SHA-256 of the body in hexadecimal, empty without a body
     * @param refusedForMs how long such requests are refused, in milliseconds
     */
    record Quarantine(String route, String method, String uri, String bodyHash, long refusedForMs) implements Frame {}

    /**
     * A row that an operator or the fleet keeps on the platform, for nodes that cannot read it there.
     *
     * @param key table and key of the row
     * @param revision revision of the row on the platform
     * @param content the row's value
     */
    record OperatorRow(String key, long revision, byte[] content) implements Frame {

        @Override
        public boolean equals(Object other) {
            return other instanceof OperatorRow row
                    && key.equals(row.key)
                    && revision == row.revision
                    && Arrays.equals(content, row.content);
        }

        @Override
        public int hashCode() {
            return Objects.hash(key, revision, Arrays.hashCode(content));
        }
    }

    /**
     * Asks a node to send the operators' rows now and as they change, for a limited time.
     *
     * @param heldRevisions revisions of the rows that the sender holds, by key
     */
    record RowSubscription(Map<String, Long> heldRevisions) implements Frame {}

    /**
     * A row as a change of an earlier revision of it.
     *
     * @param key table and key of the row
     * @param baseRevision revision that the change applies to
     * @param revision revision of the row on the platform
     * @param delta the change
     */
    record RowDelta(String key, long baseRevision, long revision, ContentDelta delta) implements Frame {}

    /**
     * Tells that the sender's rows were the newest on the platform a moment ago.
     *
     * @param revision newest revision of the operators' rows held
     * @param readRevision revision of the platform up to which no other operators' rows exist
     * @param platformMs the platform's clock when it was last read, in milliseconds; it tells progress without clocks of
     *     nodes
     */
    record RowFreshness(long revision, long readRevision, long platformMs) implements Frame {}

    /**
     * Starts a call.
     *
     * @param callId number of the call on this connection
     * @param endpointId the chosen endpoint
     * @param service the service
     * @param callClass priority
     * @param deadlineMs time left in milliseconds
     * @param targetMs time left until the answer loses part of its use, negative when that has passed
     * @param method HTTP method
     * @param uri path and query
     * @param headers headers by lower-case name
     * @param hasBody whether body frames follow
     * @param sentMs the sender's clock when the frame was written, in milliseconds; its origin is arbitrary
     */
    record CallStart(
            long callId,
            String endpointId,
            String service,
            CallClass callClass,
            int deadlineMs,
            int targetMs,
            String method,
            String uri,
            Map<String, String> headers,
            boolean hasBody,
            long sentMs)
            implements Frame {

        /**
         * Counts time that the call has spent since its times were told.
         *
         * @param elapsedMs the time in milliseconds
         * @return the call with that much less time left
         */
        public CallStart withElapsed(long elapsedMs) {
            return new CallStart(
                    callId,
                    endpointId,
                    service,
                    callClass,
                    (int) Math.max(0, deadlineMs - elapsedMs),
                    (int) Math.max(Integer.MIN_VALUE, targetMs - elapsedMs),
                    method,
                    uri,
                    headers,
                    hasBody,
                    sentMs);
        }

        /**
         * Tells when the frame is written.
         *
         * @param clockMs the sender's clock
         * @return the frame with that time
         */
        public CallStart withSentMs(long clockMs) {
            return new CallStart(
                    callId,
                    endpointId,
                    service,
                    callClass,
                    deadlineMs,
                    targetMs,
                    method,
                    uri,
                    headers,
                    hasBody,
                    clockMs);
        }
    }

    /**
     * Part of a request's or response's body.
     *
     * @param callId the call
     * @param bytes the content
     * @param last whether the body ends here
     */
    record Body(long callId, byte[] bytes, boolean last) implements Frame {}

    /**
     * Allows the other end to send more of a body.
     *
     * @param callId the call
     * @param bytes additional bytes
     */
    record Credit(long callId, int bytes) implements Frame {}

    /**
     * The sender no longer needs the response.
     *
     * @param callId the call
     */
    record Cancel(long callId) implements Frame {}

    /**
     * Starts a response; body frames follow.
     *
     * @param callId the call
     * @param status HTTP status
     * @param headers headers by lower-case name
     * @param contentLength announced length in bytes, -1 when unknown
     * @param load load of the endpoint
     */
    record ResponseStart(long callId, int status, Map<String, String> headers, long contentLength, Load load)
            implements Frame {}

    /**
     * Load of an endpoint as the node beside it sees it.
     *
     * @param permille calls running and waiting, in thousandths of its slots
     * @param serviceMs mean time that a call holds a slot, in milliseconds; 0 while unknown
     */
    record Load(int permille, int serviceMs) {

        /** Load of an endpoint about which nothing is known. */
        public static final Load UNKNOWN = new Load(0, 0);
    }

    /**
     * The call ended without a whole response.
     *
     * @param callId the call
     * @param code stable code of the failure
     * @param notRun whether the call certainly did not run
     * @param message what failed
     * @param load load of the endpoint
     * @param estimatedWaitMs time after which the endpoint would probably have taken the call, 0 when unknown
     */
    record CallFailure(long callId, String code, boolean notRun, String message, Load load, int estimatedWaitMs)
            implements Frame {

        /**
         * A failure that says nothing about the endpoint's load.
         *
         * @param callId the call
         * @param code stable code of the failure
         * @param notRun whether the call certainly did not run
         * @param message what failed
         */
        public CallFailure(long callId, String code, boolean notRun, String message) {
            this(callId, code, notRun, message, Load.UNKNOWN, 0);
        }
    }
}

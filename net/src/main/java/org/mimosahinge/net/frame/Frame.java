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
import org.mimosahinge.api.platform.StorePosition;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.Node;

/** A message between two daemons. */
public sealed interface Frame {

    /** Use of a connection between two daemons. */
    enum Purpose {
        /** Carries configuration, membership and reports. */
        CONTROL,
        /** Carries calls. */
        CALLS
    }

    /**
     * First frame that each side sends on a new connection.
     *
     * @param purpose use of the connection
     * @param node the sender
     * @param version configuration version in force on the sender
     * @param provenCurrent whether the sender has verified that this version is the newest one
     * @param interests services whose routes the sender's subtree of the distribution tree needs; empty means all
     */
    record Hello(Purpose purpose, Node node, long version, boolean provenCurrent, Set<String> interests)
            implements Frame {}

    /**
     * Shows that the sender is alive and the connection works.
     *
     * @param sequence number of the heartbeat, counted by the sender
     */
    record Heartbeat(long sequence) implements Frame {}

    /**
     * Moves the receiver to a later configuration version.
     *
     * @param update the change
     * @param headVersionAtConnect version of the head that the sender had verified when the receiver connected; 0 when
     *     it had verified none
     */
    record Config(ConfigUpdate update, long headVersionAtConnect) implements Frame {}

    /**
     * Requests the full configuration.
     *
     * @param version configuration version that the sender has
     */
    record ConfigRequest(long version) implements Frame {}

    /**
     * Announces that the head row points to a new configuration version.
     *
     * @param version the new version
     */
    record HeadHint(long version) implements Frame {}

    /**
     * States of endpoints. The state with the highest stamp replaces the others of the same endpoint.
     *
     * @param endpoints endpoints with their state
     */
    record Endpoints(List<Endpoint> endpoints) implements Frame {}

    /**
     * Halt marks, which the receiver adds to those that it has; no frame removes a mark.
     *
     * @param marks the marks
     */
    record HaltMarks(Set<HaltMark> marks) implements Frame {}

    /**
     * Reports which configuration versions are in force in the sender's subtree.
     *
     * @param nodesByVersion number of nodes of the subtree by version in force
     */
    record VersionReport(SortedMap<Long, Integer> nodesByVersion) implements Frame {}

    /**
     * Asks the node that an endpoint is registered with to send no new calls to it. Nodes forward the frame along the
     * distribution tree.
     *
     * @param endpointId the endpoint
     */
    record Drain(String endpointId) implements Frame {}

    /**
     * Outcomes of calls to one service during a move, summed over the sender's subtree since it last sent this frame.
     *
     * @param service the service
     * @param counts one element for each version, route and availability zone
     */
    record CallOutcomes(String service, List<OutcomeCounts> counts) implements Frame {}

    /**
     * Numbers of calls by outcome.
     *
     * @param version version of the backend server
     * @param route the route
     * @param zone availability zone of the endpoint
     * @param calls number of calls that ended
     * @param failuresByKind number of failed calls by kind of failure
     * @param callsByLatency number of calls by latency bucket
     */
    record OutcomeCounts(
            String version,
            String route,
            String zone,
            long calls,
            List<Long> failuresByKind,
            List<Long> callsByLatency) {}

    /**
     * Tells at which crashes of backend servers a request was in flight. In a distribution tree, nodes forward it.
     *
     * @param route the route
     * @param method HTTP method
     * @param uri path and query
     * @param bodyHash SHA-256 hash of the body in hexadecimal, empty when there is no body
     * @param refusedForMs duration for which matching requests are refused, in milliseconds
     * @param lost starts of backend servers that ended while they ran such a request, none in frames of earlier releases
     * @param cleared those of them after which such a request has succeeded
     */
    record RequestCrashes(
            String route,
            String method,
            String uri,
            String bodyHash,
            long refusedForMs,
            List<LostStart> lost,
            List<LostStart> cleared)
            implements Frame {}

    /**
     * A start of a backend server that ended with a crash.
     *
     * @param endpointId its endpoint
     * @param birth incarnation under which it was announced
     * @param ordinal number of crashes under that incarnation before
     */
    record LostStart(String endpointId, long birth, int ordinal) {}

    /**
     * A row that an operator or the fleet has written to the platform, sent to nodes that cannot read the platform.
     *
     * @param key table and key of the row
     * @param revision revision of the row on the platform
     * @param content value of the row, empty if it was removed
     * @param removed whether the row was removed
     */
    record OperatorRow(String key, StorePosition revision, byte[] content, boolean removed) implements Frame {

        @Override
        public boolean equals(Object other) {
            return other instanceof OperatorRow row
                    && key.equals(row.key)
                    && revision.equals(row.revision)
                    && removed == row.removed
                    && Arrays.equals(content, row.content);
        }

        @Override
        public int hashCode() {
            return Objects.hash(key, revision, Arrays.hashCode(content));
        }
    }

    /**
     * Asks a node to send the operators' rows now and whenever they change, until the subscription expires.
     *
     * @param heldRevisions revisions of the rows that the sender already has, by key
     */
    record RowSubscription(Map<String, StorePosition> heldRevisions) implements Frame {}

    /**
     * A row, encoded as the difference from an earlier revision.
     *
     * @param key table and key of the row
     * @param baseRevision revision that the delta applies to
     * @param revision revision of the row on the platform
     * @param delta the difference between the two revisions
     */
    record RowDelta(String key, StorePosition baseRevision, StorePosition revision, ContentDelta delta)
            implements Frame {}

    /**
     * States when the sender's rows were last known to be the newest ones on the platform.
     *
     * @param revision newest revision among the operators' rows that the sender has
     * @param readRevision revision of the platform up to which the sender has all operators' rows
     * @param platformMs the platform's clock when it was last read, in milliseconds; a single clock measures freshness
     *     on all nodes, so that the nodes' own clocks do not matter
     */
    record RowFreshness(StorePosition revision, StorePosition readRevision, long platformMs) implements Frame {}

    /**
     * Reports the calls of organisations with a quota to the quota coordinator.
     *
     * @param first whether this is the sender's first report to this receiver, which then counts from here
     * @param uses calls by organisation; organisations without a change may be missing
     */
    record QuotaUse(boolean first, List<OrganisationUse> uses) implements Frame {}

    /**
     * Numbers of an organisation's calls at a node since its start.
     *
     * @param organisation name of the organisation
     * @param admitted calls that were admitted and not given back
     * @param refused calls that were refused for the quota
     */
    record OrganisationUse(String organisation, long admitted, long refused) {}

    /**
     * Tells the nodes which part of the calls of organisations they may admit; they admit all calls of the others.
     *
     * @param allowances allowances of the limited organisations
     */
    record QuotaAllowances(List<Allowance> allowances) implements Frame {}

    /**
     * Part of the calls of an organisation that each node may admit.
     *
     * @param organisation name of the organisation
     * @param permille part of the arriving calls
     * @param waitMs time until a refused caller may be admitted
     * @param spreadMs time that the refused callers need after that to be admitted one after the other
     */
    record Allowance(String organisation, int permille, int waitMs, int spreadMs) {}

    /**
     * Starts a call.
     *
     * @param callId number of the call, unique on this connection
     * @param endpointId endpoint chosen by the sender
     * @param service the service
     * @param callClass class of the call, which sets its priority
     * @param deadlineMs time left until the deadline, in milliseconds
     * @param targetMs time left until the target latency is exceeded and the answer loses part of its value, in
     *     milliseconds; negative when it is exceeded already
     * @param method HTTP method
     * @param uri path and query
     * @param headers header values by lower-case name
     * @param hasBody whether body frames follow
     * @param sentMs the sender's clock when the frame was written, in milliseconds since an arbitrary origin
     * @param repeatPermille probability that the backend server's run counts as a repeat: 1,000 after an attempt that
     *     reached an endpoint, the share of the run that made the call otherwise
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
            long sentMs,
            int repeatPermille)
            implements Frame {

        /**
         * Returns a copy with the elapsed time subtracted from the remaining times.
         *
         * @param elapsedMs time since the remaining times were set, in milliseconds
         * @return the copy
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
                    sentMs,
                    repeatPermille);
        }

        /**
         * Returns a copy with the time of sending.
         *
         * @param clockMs the sender's clock in milliseconds
         * @return the copy
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
                    clockMs,
                    repeatPermille);
        }
    }

    /**
     * Part of the body of a request or a response.
     *
     * @param callId the call
     * @param bytes the bytes of this part
     * @param last whether this is the last part
     */
    record Body(long callId, byte[] bytes, boolean last) implements Frame {}

    /**
     * Grants flow-control credit: the receiver may send more of a body.
     *
     * @param callId the call
     * @param bytes number of additional bytes
     */
    record Credit(long callId, int bytes) implements Frame {}

    /**
     * Cancels a call whose response the sender no longer needs.
     *
     * @param callId the call
     */
    record Cancel(long callId) implements Frame {}

    /**
     * Starts a response; body frames follow.
     *
     * @param callId the call
     * @param status HTTP status
     * @param headers header values by lower-case name
     * @param contentLength value of the content-length header in bytes, -1 when unknown
     * @param load load of the endpoint
     */
    record ResponseStart(long callId, int status, Map<String, String> headers, long contentLength, Load load)
            implements Frame {}

    /**
     * Load of an endpoint, measured by the node that it is registered with.
     *
     * @param permille running and queued calls, in thousandths of the endpoint's slots
     * @param serviceMs mean time that a call occupies a slot, in milliseconds; 0 when unknown
     * @param workPercent how long work takes on its VM at this moment, 100 for the usual time; 0 when not stated
     * @param room calls that the endpoint may have in its slots at present, 0 for all its slots
     */
    record Load(int permille, int serviceMs, int workPercent, int room) {

        /**
         * Creates the load of an endpoint that states nothing about its VM and uses all its slots.
         *
         * @param permille running and queued calls, in thousandths of the endpoint's slots
         * @param serviceMs mean time that a call occupies a slot, in milliseconds; 0 when unknown
         */
        public Load(int permille, int serviceMs) {
            this(permille, serviceMs, 0, 0);
        }

        /**
         * Returns a copy with another occupancy.
         *
         * @param other running and queued calls, in thousandths of the endpoint's slots
         * @return the copy
         */
        public Load withPermille(int other) {
            return new Load(other, serviceMs, workPercent, room);
        }

        /**
         * Returns the occupancy of what the endpoint may use at present.
         *
         * @param slots slots of the endpoint
         * @return running and queued calls, in thousandths of its room, or of its slots if it may use all of them
         */
        public int occupancyPermille(int slots) {
            return room == 0 ? permille : permille * slots / room;
        }

        /** Returns whether the endpoint states anything beyond the occupancy of its slots. */
        boolean tellsMachine() {
            return workPercent != 0 || room != 0;
        }

        /** Load of an endpoint that has not been measured. */
        public static final Load UNKNOWN = new Load(0, 0);
    }

    /**
     * Ends a call without a complete response.
     *
     * @param callId the call
     * @param code error code of the failure, stable across releases
     * @param notRun whether the call is known not to have run
     * @param message description of the failure
     * @param load load of the endpoint
     * @param estimatedWaitMs estimated time until the endpoint could have admitted the call, in milliseconds; 0 when
     *     unknown
     */
    record CallFailure(long callId, String code, boolean notRun, String message, Load load, int estimatedWaitMs)
            implements Frame {

        /**
         * Creates a failure without information about the endpoint's load.
         *
         * @param callId the call
         * @param code error code of the failure, stable across releases
         * @param notRun whether the call is known not to have run
         * @param message description of the failure
         */
        public CallFailure(long callId, String code, boolean notRun, String message) {
            this(callId, code, notRun, message, Load.UNKNOWN, 0);
        }
    }
}

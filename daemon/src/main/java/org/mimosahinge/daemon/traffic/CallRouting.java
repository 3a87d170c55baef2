package org.mimosahinge.daemon.traffic;

import java.util.Optional;
import java.util.Set;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.Organisation;
import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.core.admission.RetryAfterPolicy;
import org.mimosahinge.core.deadline.RequestDelay;
import org.mimosahinge.core.organisation.AccessDecision;
import org.mimosahinge.core.organisation.AccessPolicy;
import org.mimosahinge.core.organisation.RevocationPolicy;
import org.mimosahinge.core.routing.RandomSource;

/**
 * The route and organisation of a caller's request, or the reason for which it is refused before its first attempt.
 *
 * @param plan state of the routed call, null if the request was refused before its service was known
 * @param deadlineMs time from its arrival after which the call is answered with a failure, 0 without a route
 * @param refusal why the request is refused, empty if it is not
 * @param credit admission under the quota of its organisation
 */
record CallRouting(CallPlan plan, long deadlineMs, Optional<Refusal> refusal, QuotaGates.Credit credit) {

    /**
     * Why a request is refused.
     *
     * @param code error code
     * @param reason text for the caller and the log
     * @param retryAfterMs time after which the caller should retry, 0 to derive it from the code
     */
    record Refusal(ErrorCode code, String reason, long retryAfterMs) {

        private static final int MIN_SERVER_ERROR_STATUS = 500;

        /** Returns after which time the caller should retry, given when there is room and what it has left. */
        long retryAfterMs(long estimatedWaitMs, long targetMs, long remainingMs, RandomSource random) {
            boolean retryable = code.httpStatus() >= MIN_SERVER_ERROR_STATUS && code != ErrorCode.REQUEST_QUARANTINED;
            return retryable
                    ? RetryAfterPolicy.retryAfterMs(estimatedWaitMs, targetMs, remainingMs, random)
                    : RetryAfterPolicy.limited(retryAfterMs, remainingMs);
        }
    }

    private static final String QUOTA_USED = "The organisation has used its quota";

    static CallRouting of(
            TrafficLoop loop, CallRequest request, Snapshot snapshot, RequestBody body, RequestDelay delay) {
        if (!snapshot.provenCurrent()) {
            return refused(null, 0, ErrorCode.NOT_READY, "The node has no proof that its configuration is current");
        }
        Optional<Route> matched = loop.routes(snapshot).match(request.host(), request.uri());
        if (matched.isEmpty()) {
            loop.callLog().noRoute(request, snapshot);
            return refused(
                    null,
                    0,
                    ErrorCode.NO_ROUTE,
                    "No route of version " + snapshot.version() + " matches host and path");
        }
        AccessDecision access = identify(loop, request, snapshot, matched.get());
        if (!(access instanceof AccessDecision.Anonymous)
                && !loop.context().snapshots().provesKeys(snapshot)) {
            // Not 401: the configuration that the node does not know may have added the key.
            return refused(null, 0, ErrorCode.NOT_READY, RevocationPolicy.UNPROVEN);
        }
        if (access instanceof AccessDecision.Unknown unknown) {
            return refused(null, 0, ErrorCode.UNAUTHENTICATED, unknown.reason());
        }
        String target = loop.roundRobin().next(matched.get());
        Route route = access instanceof AccessDecision.Member member
                ? withPriority(matched.get(), member.organisation())
                : matched.get();
        Service service = snapshot.services().get(target);
        long deadlineMs = HeaderMaps.deadlineMs(
                request.headers(),
                loop.protocol().deadlineHeader(),
                route.timeout().toMillis());
        if (service == null) {
            return refused(null, deadlineMs, ErrorCode.NO_ENDPOINT, "Service \"" + target + "\" is not configured");
        }
        long statedMs = HeaderMaps.number(request.headers(), loop.protocol().deadlineHeader());
        long earlierAttemptsMs = loop.callerDeadlines().earlierAttemptsMs(route, statedMs);
        CallTimes times = new CallTimes(deadlineMs, earlierAttemptsMs, delay.elapsedMs(deadlineMs));
        Set<String> regions = access instanceof AccessDecision.Member member
                ? member.organisation().regions()
                : Set.of();
        CallPlan plan = new CallPlan(loop, request, body, route, service, times, regions);
        if (times.elapsedMs() >= deadlineMs) {
            return refused(
                    plan,
                    deadlineMs,
                    ErrorCode.DEADLINE_EXCEEDED,
                    "The deadline passed while earlier requests of the connection were served");
        }
        if (!loop.plane().admits(route, deadlineMs - times.elapsedMs())) {
            return refused(plan, deadlineMs, ErrorCode.NOT_READY, EntryCall.NODE_STOPS);
        }
        // Last, so that a call which is refused for another reason takes no credit.
        QuotaGates.Credit credit = access instanceof AccessDecision.Member member
                ? loop.context().quotas().admit(member.organisation())
                : QuotaGates.Credit.NONE;
        Optional<Refusal> refusal = credit.retryAfterMs() > 0
                ? Optional.of(new Refusal(ErrorCode.QUOTA_EXCEEDED, QUOTA_USED, credit.retryAfterMs()))
                : Optional.empty();
        return new CallRouting(plan, deadlineMs, refusal, credit);
    }

    private static CallRouting refused(CallPlan plan, long deadlineMs, ErrorCode code, String reason) {
        return new CallRouting(plan, deadlineMs, Optional.of(new Refusal(code, reason, 0)), QuotaGates.Credit.NONE);
    }

    private static AccessDecision identify(TrafficLoop loop, CallRequest request, Snapshot snapshot, Route route) {
        Organisations organisations = snapshot.rules().organisations();
        if (organisations.isEmpty()) {
            return new AccessDecision.Anonymous();
        }
        AccessDecision decision =
                AccessPolicy.decide(organisations, route, CallerIdentity.key(request.headers(), loop.protocol()));
        Optional<Organisation> organisation = decision instanceof AccessDecision.Member member
                ? Optional.of(member.organisation())
                : Optional.empty();
        CallerIdentity.replaceKey(request.headers(), loop.protocol(), organisation);
        return decision;
    }

    private static Route withPriority(Route route, Organisation organisation) {
        return organisation
                .callClass()
                .filter(callClass -> callClass != route.callClass())
                .map(route::withCallClass)
                .orElse(route);
    }
}

package org.mimosahinge.daemon.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.ServiceLimits;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.ServerLoad;
import org.mimosahinge.core.admission.AdmissionDecision;
import org.mimosahinge.core.admission.AdmissionLimits;
import org.mimosahinge.core.admission.AdmissionPolicy;
import org.mimosahinge.core.admission.AdmissionView;
import org.mimosahinge.core.admission.SlotRequest;
import org.mimosahinge.core.admission.SlotTimeAverages;
import org.mimosahinge.core.admission.TimelyDemand;
import org.mimosahinge.core.move.CallOutcomesKey;
import org.mimosahinge.core.move.FailureKind;
import org.mimosahinge.core.pace.AnswerPace;
import org.mimosahinge.core.placement.WorkTime;
import org.mimosahinge.core.retry.RunningRepeats;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.log.EventLog;

/** Admits calls to one backend server on this node, queues or refuses the others, and detects its crash. */
final class BackendAdmission implements CallTarget {

    /** A process that exits closes its connections and its listening socket in no particular order. */
    private static final long PROBE_DELAY_MS = 10;

    private static final int PERMILLE = 1_000;

    private static final String REPEATS_EXHAUSTED = "Calls of repeats have used up the retry budget of a service below";

    private static final String NODE_STOPS = "The node is stopping";

    private static final EventLog LOG = EventLog.of("gate");

    private final TrafficLoop loop;
    private final BackendPool pool;
    private final TreeMap<SlotRequest, BackendCall> waiting = new TreeMap<>();
    private final List<BackendCall> callsWithLostConnection = new ArrayList<>();
    private final SlotTimeAverages slotTimeAverages = new SlotTimeAverages();
    private final AnswerPace pace = new AnswerPace(slotTimeAverages);
    private final TimelyDemand timelyDemand = new TimelyDemand();
    private final ColdSending coldSending;
    private final OrganisationSharing sharing;
    private Endpoint endpoint;
    private AdmissionLimits limits;
    private int running;
    private int lateRunning;
    private long arrivals;
    private WorkTime workTime = WorkTime.NOT_STATED;

    BackendAdmission(TrafficLoop loop, Endpoint endpoint) {
        this.loop = loop;
        pool = new BackendPool(loop, endpoint.server().address());
        coldSending = new ColdSending(loop);
        sharing = new OrganisationSharing(loop);
    }

    /** Updates the endpoint's announcement and the limits of its service. */
    BackendAdmission update(Endpoint latest, ServiceLimits serviceLimits) {
        if (latest != endpoint) {
            endpoint = latest;
            coldSending.update(latest);
            limits = AdmissionLimits.of(latest.server(), serviceLimits);
        }
        return this;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    CallProtocol protocol() {
        return loop.protocol();
    }

    /** Returns whether the endpoint gets no calls because its zone is evacuated. */
    boolean evacuated() {
        return loop.snapshot()
                .rules()
                .evacuatedZones()
                .contains(endpoint.node().zone().name());
    }

    @Override
    public CallStream start(Frame.CallStart start, ResponseObserver observer) {
        long now = TrafficLoop.nowMs();
        long finishMs = now
                + loop.context()
                        .policies()
                        .latencyBudget()
                        .remainingMs(start.callClass(), start.targetMs(), start.deadlineMs());
        SlotRequest waiter = new SlotRequest(start.callClass(), finishMs, ++arrivals, sharing.organisation(start));
        double classServiceMs = pace.classMs(start.callClass(), now);
        boolean late = AdmissionPolicy.isLate(waiter, now, classServiceMs);
        if (!late) {
            timelyDemand.arrived(classServiceMs, now);
        }
        sharing.arrived(waiter, late ? 0 : classServiceMs, now);
        BackendCall call = new BackendCall(this, start, waiter, late, now + start.deadlineMs(), observer);
        if (start.repeatPermille() == RunningRepeats.CERTAIN_PERMILLE
                && loop.retryBudgets().isOverdrawn(now)) {
            logRefusal(start, REPEATS_EXHAUSTED, 0);
            call.refuse(REPEATS_EXHAUSTED, 0);
            return call;
        }
        if (evacuated()) {
            call.refuseEvacuated();
            return call;
        }
        refuseWithoutChance(now);
        AdmissionView view = view(now, start.callClass());
        AdmissionDecision decision = coldSending.decide(sharing.decide(view, waiter), view, waiter);
        if (decision instanceof AdmissionDecision.Run) {
            run(call);
        } else if (decision instanceof AdmissionDecision.Wait wait) {
            wait.evicted()
                    .map(waiting::remove)
                    .ifPresent(evicted -> evicted.refuseDisplaced(sharing.reasonOfDisplacement()));
            waiting.put(waiter, call);
            call.scheduleQueueTimeout(loop.eventLoop(), AdmissionPolicy.latestStartMs(waiter, classServiceMs));
            if (coldSending.waitMs() > 0) {
                coldSending.wakeUp(this::runWaiting);
            }
        } else if (decision instanceof AdmissionDecision.Refuse refusal) {
            logRefusal(start, refusal.reason(), refusal.estimatedWaitMs());
            call.refuse(refusal.reason(), refusal.estimatedWaitMs());
        }
        return call;
    }

    /** Logs why a call is not run here, with the figures that the decision is based on. */
    void logRefusal(Frame.CallStart start, String reason, long estimatedWaitMs) {
        LOG.info(
                "not_admitted",
                "request",
                requestId(start),
                "endpoint",
                endpoint.id(),
                "class",
                start.callClass(),
                "organisation",
                sharing.organisation(start),
                "target_ms",
                start.targetMs(),
                "running",
                running,
                "waiting",
                waiting.size(),
                "slots",
                limits.slots(),
                "service_ms",
                Math.round(pace.classMs(start.callClass(), TrafficLoop.nowMs())),
                "mean_ms",
                Math.round(slotTimeAverages.classMs(start.callClass())),
                "room_in_ms",
                estimatedWaitMs,
                "reason",
                reason);
    }

    /** Logs that the connection of a call was lost, and whether the backend server crashed. */
    void logConnectionLost(Frame.CallStart start, boolean crashed, String reason, long slotNanos) {
        LOG.info(
                "backend_lost",
                "request",
                requestId(start),
                "endpoint",
                endpoint.id(),
                "crashed",
                crashed,
                "reason",
                reason,
                "ms",
                Math.round(slotNanos / 1e6));
    }

    /** Logs and counts a call that was cancelled by its sender. */
    void cancelled(Frame.CallStart start, String state, long slotNanos, long sentNanos) {
        loop.callLog().cancelled(start, state, slotNanos, sentNanos);
    }

    private String requestId(Frame.CallStart start) {
        return start.headers().getOrDefault(protocol().requestIdHeader(), "-");
    }

    private AdmissionLimits limitsInForce() {
        boolean checked = loop.routes(loop.snapshot())
                .sendsInternalChecksTo(endpoint.server().service());
        return checked ? limits : limits.withoutReserve();
    }

    private AdmissionView view(long nowMs, CallClass callClass) {
        boolean unknownSpeed = slotTimeAverages.overallMs() == 0 && coldSending.hasRule();
        AdmissionLimits inForce = limitsInForce();
        return new AdmissionView(
                unknownSpeed ? inForce.beforeFirstCall() : inForce,
                running,
                waiting.navigableKeySet(),
                pace.overallMs(nowMs),
                nowMs,
                pace.classMs(callClass, nowMs),
                slotTimeAverages.higherClassFraction(callClass),
                lateRunning,
                timelyDemand.slots(nowMs));
    }

    /** Refuses queued calls if the backend server has become too slow for them since they were queued. */
    private void refuseWithoutChance(long nowMs) {
        if (waiting.isEmpty() || slotTimeAverages.anyAnswered() && pace.slowdown(nowMs) == 1) {
            return;
        }
        AdmissionView view = view(nowMs, waiting.firstKey().callClass());
        for (SlotRequest call :
                AdmissionPolicy.withoutChance(view, sharing.order(view), callClass -> pace.classMs(callClass, nowMs))) {
            // A refusal may end further calls of the same connection.
            Optional.ofNullable(waiting.remove(call)).ifPresent(BackendCall::refuseNoSlot);
        }
    }

    int waitingCalls() {
        return waiting.size();
    }

    /** Refuses the calls in the queue, because the process ends. */
    void refuseWaiting() {
        List<BackendCall> calls = List.copyOf(waiting.values());
        waiting.clear();
        calls.forEach(call -> call.refuse(NODE_STOPS, 0));
    }

    private void run(BackendCall call) {
        running++;
        lateRunning += call.late() ? 1 : 0;
        loop.context().runningRepeats().started(call.repeatPermille());
        coldSending.admitted();
        sharing.started(call.waiter());
        call.admitted();
        pace.started(call.callClass(), call.admittedAtMs());
        pool.acquire(false, call::connected);
    }

    /** Removes a call from the queue. */
    void removeFromQueue(SlotRequest waiter) {
        waiting.remove(waiter);
    }

    /** Releases the slot of a call that was answered and records how long it was occupied. */
    void releaseSlot(BackendCall ended, long slotNanos) {
        slotTimeAverages.observe(ended.callClass(), slotNanos / 1e6);
        freeSlot(ended);
    }

    /** Releases the slot of a call that was cancelled, lost or refused by the backend server. */
    void releaseSlotOfUnfinished(BackendCall ended, long slotNanos) {
        slotTimeAverages.observeUnfinished(ended.callClass(), slotNanos / 1e6);
        freeSlot(ended);
    }

    /** Releases the slot of a call that was not sent. */
    void releaseUnusedSlot(BackendCall ended) {
        coldSending.notSent();
        freeSlot(ended);
    }

    /** Handles a call that ended without a slot. */
    void endedWithoutSlot(BackendCall ended) {
        sharing.refused(ended.waiter());
    }

    /** Counts a call that is about to be sent, or returns the time until the backend server bears it. */
    long waitBeforeSendingMs() {
        return coldSending.sending() ? 0 : Math.max(1, coldSending.waitMs());
    }

    private void freeSlot(BackendCall ended) {
        running--;
        pace.stopped(ended.callClass(), ended.admittedAtMs());
        lateRunning -= ended.late() ? 1 : 0;
        sharing.ended(ended.waiter());
        loop.context().runningRepeats().ended(ended.repeatPermille());
        runWaiting();
    }

    /** Runs waiting calls in free slots. */
    private void runWaiting() {
        while (!waiting.isEmpty()) {
            Optional<SlotRequest> next = sharing.nextToRun(
                    view(TrafficLoop.nowMs(), waiting.firstKey().callClass()));
            if (next.isEmpty()) {
                return;
            }
            if (coldSending.waitMs() > 0) {
                coldSending.wakeUp(this::runWaiting);
                return;
            }
            BackendCall call = waiting.remove(next.get());
            if (call.deadlinePassed()) {
                call.refuseDeadlinePassed();
            } else {
                run(call);
            }
        }
    }

    /** Records the outcome of a call while its service is being moved to another version. */
    void recordOutcome(CallClass callClass, Optional<FailureKind> failure, long slotNanos) {
        String service = endpoint.server().service();
        if (!loop.context().policies().peering().recordsAtBackend()
                || !loop.snapshot().moves().containsKey(service)) {
            return;
        }
        CallOutcomesKey key = new CallOutcomesKey(endpoint.server().version(), callClass.name(), "");
        if (failure.isPresent()) {
            loop.outcomeRecorder(service).recordFailure(key, failure.get());
        } else {
            loop.outcomeRecorder(service).recordSuccess(key, slotNanos / 1e6);
        }
    }

    void release(BackendConnection connection) {
        pool.release(connection);
    }

    /** Closes idle connections after one connection stopped responding; the others may have lost their state too. */
    void closeIdleConnections() {
        pool.closeIdle();
    }

    void connectionRefused() {
        loop.context().listener().on(new TrafficEvent.ConnectionRefused(endpoint.id()));
    }

    /** Handles a connection lost during a call; a new connection shows whether the backend server still runs. */
    void connectionLost(BackendCall call) {
        callsWithLostConnection.add(call);
        if (callsWithLostConnection.size() == 1) {
            loop.eventLoop()
                    .schedule(() -> pool.acquire(true, this::probeCompleted), PROBE_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void probeCompleted(BackendConnection connection) {
        List<BackendCall> calls = List.copyOf(callsWithLostConnection);
        callsWithLostConnection.clear();
        if (connection == null) {
            loop.context().listener().on(new TrafficEvent.EndpointDied(endpoint.id(), calls.size()));
        } else {
            connection.detachCall();
            pool.release(connection);
        }
        for (int i = 0; i < calls.size(); i++) {
            calls.get(i).resolveConnectionLoss(connection == null, i == 0);
        }
    }

    /** Returns whether no call is running or waiting and no connection is open. */
    boolean idle() {
        return running == 0 && waiting.isEmpty() && pool.idle();
    }

    /** Records the load that the backend server has stated; its occupancy is known better from this node's calls. */
    void stated(ServerLoad load) {
        if (load.workPercent() != 0) {
            workTime = WorkTime.stated(load.workPercent(), TrafficLoop.nowMs());
        }
    }

    /** Returns the occupancy of the slots, which responses carry to other nodes as a hint. */
    Frame.Load load() {
        long now = TrafficLoop.nowMs();
        int permille = PERMILLE * (running + waiting.size()) / limits.slots();
        return new Frame.Load(
                permille,
                (int) Math.round(pace.overallMs(now)),
                workTime.percentAt(now),
                coldSending.room(running, limits.slots()));
    }
}

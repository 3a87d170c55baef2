package org.mimosahinge.daemon.traffic;

import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.contract.ColdStart;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.core.admission.AdmissionDecision;
import org.mimosahinge.core.admission.AdmissionView;
import org.mimosahinge.core.admission.SlotRequest;
import org.mimosahinge.core.pace.ColdAdmission;
import org.mimosahinge.core.pace.ColdSendLimit;

/**
 * Counts the calls that are sent to the backend server beside this node and delays those that it does not bear while it
 * is cold; accessed by the event loop of its endpoint only.
 */
final class ColdSending {

    private final TrafficLoop loop;
    private Endpoint endpoint;
    private ColdStart rule;
    private ColdSendLimit limit;
    /** Calls that wait for their connection and will be sent. */
    private int unsent;

    private boolean wakeUpScheduled;

    ColdSending(TrafficLoop loop) {
        this.loop = loop;
    }

    void update(Endpoint latest) {
        endpoint = latest;
    }

    /** Returns whether the rate of calls is limited at present; calls are counted where the service has a limit. */
    private boolean limited(long nowMs) {
        ColdStart current =
                loop.snapshot().rules().coldStarts().get(endpoint.server().service());
        if (current == null) {
            rule = null;
            return false;
        }
        if (!current.equals(rule)) {
            limit = limit == null ? new ColdSendLimit(current) : new ColdSendLimit(current, nowMs);
            rule = current;
        }
        return loop.plane().coldness().isCold(endpoint.id(), nowMs);
    }

    /** Returns whether the backend servers of the service may be cold. */
    boolean hasRule() {
        return loop.snapshot()
                .rules()
                .coldStarts()
                .containsKey(endpoint.server().service());
    }

    /** Returns the time until one more call may be sent after those that are already on their way. */
    long waitMs() {
        long now = TrafficLoop.nowMs();
        return limited(now) ? limit.waitMs(now, unsent) : 0;
    }

    AdmissionDecision decide(AdmissionDecision unlimited, AdmissionView view, SlotRequest call) {
        return limited(view.nowMs())
                ? ColdAdmission.decide(
                        unlimited,
                        view,
                        call,
                        limit.waitMs(
                                view.nowMs(),
                                unsent + view.waiting().headSet(call).size()))
                : unlimited;
    }

    /** Handles a call that has got a slot and will be sent. */
    void admitted() {
        unsent++;
    }

    /** Handles a call that has got a slot and will not be sent. */
    void notSent() {
        unsent--;
    }

    /** Counts a call at the moment of its sending, or returns false if the backend server has become cold since. */
    boolean sending() {
        long now = TrafficLoop.nowMs();
        if (limited(now) && limit.waitMs(now, 0) > 0) {
            return false;
        }
        unsent--;
        if (rule != null) {
            limit.sent(now);
        }
        return true;
    }

    /** Runs a task once the rate admits one more call, unless that is planned already. */
    void wakeUp(Runnable task) {
        if (!wakeUpScheduled) {
            wakeUpScheduled = true;
            loop.eventLoop()
                    .schedule(
                            () -> {
                                wakeUpScheduled = false;
                                task.run();
                            },
                            Math.max(1, waitMs()),
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Returns the calls that the endpoint may have in its slots at present, 0 for all its slots. */
    int room(int running, int slots) {
        long now = TrafficLoop.nowMs();
        if (!limited(now)) {
            return 0;
        }
        int room = Math.max(1, running + limit.free(now, unsent));
        return room < slots ? room : 0;
    }
}

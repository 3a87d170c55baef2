package org.mimosahinge.daemon.traffic;

import java.util.Collection;
import java.util.Optional;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.core.admission.AdmissionDecision;
import org.mimosahinge.core.admission.AdmissionPolicy;
import org.mimosahinge.core.admission.AdmissionView;
import org.mimosahinge.core.admission.FairAdmission;
import org.mimosahinge.core.admission.OrganisationShares;
import org.mimosahinge.core.admission.SlotRequest;
import org.mimosahinge.core.organisation.OrganisationWeights;
import org.mimosahinge.net.frame.Frame;

/**
 * Divides the slots of one endpoint among organisations, where the configuration has any; accessed by the event loop of
 * its endpoint only.
 */
final class OrganisationSharing {

    private static final String DISPLACED = "Displaced by a call of a higher class";
    private static final String DISPLACED_BY_SHARE = DISPLACED + " or of an organisation that uses less";

    private final TrafficLoop loop;
    private final OrganisationShares shares = new OrganisationShares();
    private OrganisationWeights weights = OrganisationWeights.of(Organisations.NONE);

    OrganisationSharing(TrafficLoop loop) {
        this.loop = loop;
    }

    private boolean applies() {
        return !loop.snapshot().rules().organisations().isEmpty();
    }

    /** Returns the organisation of a call; empty for internal checks, which belong to running work. */
    String organisation(Frame.CallStart start) {
        return applies() && start.callClass() != CallClass.INTERNAL_CHECK
                ? start.headers().getOrDefault(loop.protocol().organisationHeader(), "")
                : "";
    }

    /** Counts a call that arrives, with the time for which it would occupy a slot unless it is late. */
    void arrived(SlotRequest call, double timelySlotMs, long nowMs) {
        if (!applies() || call.callClass() == CallClass.INTERNAL_CHECK) {
            return;
        }
        Organisations latest = loop.snapshot().rules().organisations();
        if (weights.organisations() != latest) {
            weights = OrganisationWeights.of(latest);
        }
        shares.arrived(call.organisation(), weights.weight(call.organisation()), timelySlotMs, nowMs);
    }

    AdmissionDecision decide(AdmissionView view, SlotRequest call) {
        return applies() ? FairAdmission.decide(view, shares, call) : AdmissionPolicy.decide(view, call);
    }

    Optional<SlotRequest> nextToRun(AdmissionView view) {
        return applies() ? FairAdmission.nextToRun(view, shares) : AdmissionPolicy.nextToRun(view);
    }

    /** Returns the waiting calls in the order in which they get slots. */
    Collection<SlotRequest> order(AdmissionView view) {
        return applies() ? FairAdmission.order(view, shares) : view.waiting();
    }

    /** Handles a call that gets a slot; it counts also while there are no organisations, as its end may come later. */
    void started(SlotRequest call) {
        if (call.callClass() != CallClass.INTERNAL_CHECK) {
            shares.started(call.organisation(), TrafficLoop.nowMs());
        }
    }

    /** Handles a call that ends without a slot. */
    void refused(SlotRequest call) {
        if (applies() && call.callClass() != CallClass.INTERNAL_CHECK) {
            shares.refused(call.organisation(), TrafficLoop.nowMs());
        }
    }

    /** Handles the release of a slot. */
    void ended(SlotRequest call) {
        if (call.callClass() != CallClass.INTERNAL_CHECK) {
            shares.ended(call.organisation(), TrafficLoop.nowMs());
        }
    }

    String reasonOfDisplacement() {
        return applies() ? DISPLACED_BY_SHARE : DISPLACED;
    }
}

package org.mimosahinge.daemon;

import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.core.organisation.OrganisationBounds;
import org.mimosahinge.core.organisation.QuotaLimits;
import org.mimosahinge.daemon.traffic.QuotaGates;

/**
 * Gives this node a fixed part of the quotas of organisations: the quota divided by the number of known nodes. The
 * nodes of this control plane have no coordinator that would tell shares by demand. Only the control thread may use it.
 */
final class QuotaParts {

    private final QuotaGates gates;
    private Organisations organisations = Organisations.NONE;
    private int knownNodes;

    QuotaParts(QuotaGates gates) {
        this.gates = gates;
    }

    void update(Organisations inForce, int nodes, long nowMs) {
        if (inForce != organisations || nodes != knownNodes) {
            organisations = inForce;
            knownNodes = nodes;
            gates.apply(QuotaLimits.of(inForce, Math.max(1, nodes), OrganisationBounds.NONE), nowMs);
        }
    }
}

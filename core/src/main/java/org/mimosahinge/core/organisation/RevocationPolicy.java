package org.mimosahinge.core.organisation;

import java.util.Optional;

/** Decides whether a node may still serve calls by the API keys of the configuration that it knows. */
public final class RevocationPolicy {

    /** Why a call that needs a key is refused without a recent proof. */
    public static final String UNPROVEN = "The node has no recent proof that the API keys it knows are still valid";

    /**
     * Part of the time in which a key must end for which a proof is used. The rest is for what the age cannot show: the
     * drift and the rounding of the clocks, and clocks of callers, by which the time of sending is told.
     */
    private static final double USED_FRACTION = 0.8;

    private RevocationPolicy() {}

    /**
     * Decides on the calls that are decided by a version. A withdrawal that the node does not know was acknowledged
     * after the proof, so calls within the bound after the proof are within it after the withdrawal.
     *
     * @param bounds bounds of the agreement
     * @param proof the newest proof, empty before the first
     * @param version configuration version by which the call is decided
     * @param nowNanos the node's steady clock at the decision
     * @return whether calls that need a key may be decided
     */
    public static boolean allows(
            OrganisationBounds bounds, Optional<ConfigurationProof> proof, long version, long nowNanos) {
        if (!bounds.strictRevocation()) {
            return true;
        }
        // The proof of a later version says nothing about an earlier one, which a call may have read before a pause.
        return proof.isPresent()
                && version >= proof.get().version()
                && nowNanos - proof.get().provenNanos()
                        <= USED_FRACTION * bounds.revocation().toNanos();
    }
}

package org.mimosahinge.core.organisation;

import java.util.Map;

/**
 * A node's report of the calls that it admitted and refused.
 *
 * @param first whether the receiver has had no report of this node's process before; it then counts from here
 * @param counts calls since the node's start by organisation; organisations without a change may be missing
 */
public record QuotaReport(boolean first, Map<String, QuotaCount> counts) {

    /** Makes an immutable copy of the map. */
    public QuotaReport {
        counts = Map.copyOf(counts);
    }
}

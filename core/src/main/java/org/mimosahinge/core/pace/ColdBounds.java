package org.mimosahinge.core.pace;

import java.util.HashMap;
import java.util.Map;
import org.mimosahinge.api.contract.ColdStart;

/**
 * Tolerance on the calls that a cold backend server gets in one second, from the operators' agreement.
 *
 * @param overage factor on the calls per second that a cold backend server bears, 0 without a bound
 * @param slack calls beyond that in one second
 */
public record ColdBounds(double overage, double slack) {

    /** Bounds of an agreement that names none. */
    public static final ColdBounds NONE = new ColdBounds(0, 0);

    /**
     * Returns the rates at which calls are sent to cold backend servers: what these bear, and never more than agreed.
     *
     * @param coldStarts limits of cold backend servers, by service
     * @return limits to keep, by service
     */
    public Map<String, ColdStart> limits(Map<String, ColdStart> coldStarts) {
        if (overage <= 0 || coldStarts.isEmpty()) {
            return coldStarts;
        }
        Map<String, ColdStart> limits = new HashMap<>();
        coldStarts.forEach((service, cold) -> limits.put(
                service,
                new ColdStart(cold.duration(), Math.min(cold.callsPerS(), cold.callsPerS() * overage + slack))));
        return limits;
    }
}

package org.mimosahinge.api.contract;

import java.util.Map;
import java.util.Set;

/**
 * Rules that only some configurations have.
 *
 * @param organisations organisations of the callers
 * @param coldStarts limits of cold backend servers, by service
 * @param evacuatedZones names of the availability zones whose endpoints get no calls, by order of an operator
 */
public record TrafficRules(Organisations organisations, Map<String, ColdStart> coldStarts, Set<String> evacuatedZones) {

    /** Rules of a configuration that has none of them. */
    public static final TrafficRules NONE = new TrafficRules(Organisations.NONE, Map.of(), Set.of());

    /** Makes immutable copies of the collections. */
    public TrafficRules {
        coldStarts = Map.copyOf(coldStarts);
        evacuatedZones = Set.copyOf(evacuatedZones);
    }
}

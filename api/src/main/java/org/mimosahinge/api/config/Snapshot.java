package org.mimosahinge.api.config;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.mimosahinge.api.contract.CallerLimits;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.contract.TrafficRules;
import org.mimosahinge.api.world.Endpoint;

/**
 * Immutable view of configuration and endpoints from which traffic threads route calls.
 *
 * @param version configuration version in force; 0 before the first one
 * @param sections sections by team
 * @param services services by name
 * @param serviceRevisions section revision by service
 * @param routes routes, longest path prefix first
 * @param moves moves by service
 * @param endpoints known endpoints by service
 * @param haltMarks halted backend server versions
 * @param provenCurrent whether the version is proven to be up to date, so that calls of callers may be routed by it
 * @param callerLimits limits for callers
 * @param rules rules that only some configurations have
 */
public record Snapshot(
        long version,
        SortedMap<String, RevisedSection> sections,
        Map<String, Service> services,
        Map<String, Long> serviceRevisions,
        List<Route> routes,
        Map<String, MoveState> moves,
        Map<String, List<Endpoint>> endpoints,
        Set<HaltMark> haltMarks,
        boolean provenCurrent,
        CallerLimits callerLimits,
        TrafficRules rules) {
    /** Snapshot of a node that has just started. */
    public static final Snapshot EMPTY = new Snapshot(
            0,
            new TreeMap<>(),
            Map.of(),
            Map.of(),
            List.of(),
            Map.of(),
            Map.of(),
            Set.of(),
            false,
            CallerLimits.DEFAULT,
            TrafficRules.NONE);

    /** Makes immutable copies of the collections. */
    public Snapshot {
        sections = Collections.unmodifiableSortedMap(new TreeMap<>(sections));
        services = Map.copyOf(services);
        serviceRevisions = Map.copyOf(serviceRevisions);
        routes = List.copyOf(routes);
        moves = Map.copyOf(moves);
        endpoints = Map.copyOf(endpoints);
        haltMarks = Set.copyOf(haltMarks);
    }
}

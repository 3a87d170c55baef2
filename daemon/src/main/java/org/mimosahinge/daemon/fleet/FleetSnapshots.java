package org.mimosahinge.daemon.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.contract.ServiceLimits;
import org.mimosahinge.api.contract.ServiceShare;
import org.mimosahinge.api.contract.TrafficRules;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.core.admission.InternalCheckDetector;

/** Assembles the snapshots that the traffic threads route by, from the configuration in force and the endpoints. */
final class FleetSnapshots {

    /** Maximum calls that may queue for one backend server; the target latency limits the queue well before. */
    private static final int MAX_QUEUED_CALLS = 256;

    /**
     * Fraction of the fleet's retry limit that is used: its time windows slide, and its calls are counted elsewhere.
     */
    private static final double RETRY_BUDGET_FRACTION = 0.75;

    private static final int PERCENT = 100;

    private FleetConfig config;
    private List<Route> routes = List.of();
    private Set<String> routedServices = Set.of();
    private Set<String> evacuatedZones = Set.of();

    /** Puts a configuration in force. */
    void apply(FleetConfig next) {
        config = next;
        routes = classifyInternalChecks(next.routes());
        routedServices = next.routes().stream()
                .flatMap(route -> route.shares().stream())
                .map(ServiceShare::service)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Sets the zones whose endpoints get no calls. */
    void evacuate(Set<String> zones) {
        evacuatedZones = Set.copyOf(zones);
    }

    /** Assembles a snapshot; a configuration must be in force. */
    Snapshot assemble(List<Endpoint> endpoints, MoveRegistry moves, int nodes, FleetSettings settings, long nowNanos) {
        Map<String, List<Endpoint>> endpointsByService = new TreeMap<>();
        endpoints.forEach(endpoint -> endpointsByService
                .computeIfAbsent(endpoint.server().service(), key -> new ArrayList<>())
                .add(endpoint));
        return new Snapshot(
                config.version(),
                new TreeMap<>(),
                services(endpointsByService, limits(settings, nodes)),
                Map.of(),
                routes,
                moves.states(),
                endpointsByService,
                moves.haltMarks(endpointsByService, nowNanos),
                true,
                config.callerLimits(),
                new TrafficRules(
                        config.organisations(), settings.coldBounds().limits(config.coldStarts()), evacuatedZones));
    }

    /**
     * Assigns internal checks their call class. Returns the list in force if nothing changed, which keeps indexes built
     * from it.
     */
    private List<Route> classifyInternalChecks(List<Route> next) {
        Set<String> checks = InternalCheckDetector.detectRoutes(next);
        List<Route> classified = next.stream()
                .map(route -> checks.contains(route.name()) ? route.withCallClass(CallClass.INTERNAL_CHECK) : route)
                .toList();
        return routes.equals(classified) ? routes : classified;
    }

    /** Each node uses its part of the fleet's retry limit. */
    private static ServiceLimits limits(FleetSettings settings, int nodes) {
        return new ServiceLimits(
                MAX_QUEUED_CALLS, (int) Math.round(PERCENT * settings.retryRatio() * RETRY_BUDGET_FRACTION), (int)
                        Math.max(1, settings.retrySlack() * RETRY_BUDGET_FRACTION / nodes));
    }

    private Map<String, Service> services(Map<String, List<Endpoint>> endpointsByService, ServiceLimits limits) {
        Set<String> names = new TreeSet<>(config.maxConnectionsByService().keySet());
        names.addAll(endpointsByService.keySet());
        names.addAll(routedServices);
        Map<String, Service> services = new HashMap<>();
        for (String name : names) {
            List<String> versions = endpointsByService.getOrDefault(name, List.of()).stream()
                    .map(endpoint -> endpoint.server().version())
                    .distinct()
                    .sorted()
                    .toList();
            String first = versions.isEmpty() ? "" : versions.get(0);
            services.put(name, new Service(name, versions, first, Optional.empty(), limits));
        }
        return services;
    }
}

package org.mimosahinge.core.review;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.mimosahinge.api.contract.Organisation;
import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.ServiceShare;
import org.mimosahinge.core.review.EntryChange.Change;
import org.mimosahinge.core.review.ReviewFinding.Concern;

/** Reviews a configuration that is valid by itself. */
public final class ConfigReview {

    private final List<ReviewFinding> findings = new ArrayList<>();

    private ConfigReview() {}

    /**
     * Finds entries that probably aren't what their author wants.
     *
     * @param config the configuration
     * @return the findings in the order of the entries, empty if there are none
     */
    public static List<ReviewFinding> findings(ReviewedConfig config) {
        ConfigReview review = new ConfigReview();
        Map<String, Route> byMatch = new HashMap<>();
        for (Route route : config.routes()) {
            review.reviewMatch(route, byMatch);
            review.reviewRoute(route, config);
        }
        Set<String> routed = config.routes().stream()
                .flatMap(route -> route.shares().stream())
                .map(ServiceShare::service)
                .collect(Collectors.toUnmodifiableSet());
        new TreeSet<>(config.services().keySet())
                .stream()
                        .filter(service -> !routed.contains(service))
                        .forEach(
                                service -> review.add(Concern.NO_EFFECT, "service " + service, "no route leads to it"));
        config.organisations().all().forEach(organisation -> review.reviewOrganisation(organisation, config));
        return List.copyOf(review.findings);
    }

    private void reviewMatch(Route route, Map<String, Route> byMatch) {
        Route earlier = byMatch.putIfAbsent(route.host() + ' ' + route.pathPrefix(), route);
        if (earlier != null) {
            add(
                    Concern.NEVER_MATCHES,
                    entry(route),
                    "route " + earlier.name() + " has the same host and prefix and comes first");
        } else if (!route.pathPrefix().startsWith("/")) {
            add(Concern.NEVER_MATCHES, entry(route), "its prefix does not begin with a slash");
        }
    }

    private void reviewRoute(Route route, ReviewedConfig config) {
        for (ServiceShare share : route.shares()) {
            if (!config.services().containsKey(share.service())) {
                add(Concern.NO_EFFECT, entry(route), "its service " + share.service() + " is not configured");
            }
        }
        if (route.targetLatency().compareTo(route.timeout()) > 0) {
            add(
                    Concern.CONTRADICTION,
                    entry(route),
                    "calls end after " + route.timeout().toMillis() + " ms, before the target latency of "
                            + route.targetLatency().toMillis() + " ms");
        }
        if (route.access().anonymous() && config.organisations().isEmpty()) {
            add(Concern.NO_EFFECT, entry(route), "there are no organisations, so no route needs a key");
        }
    }

    private void reviewOrganisation(Organisation organisation, ReviewedConfig config) {
        if (organisation.keyHashes().isEmpty()) {
            add(Concern.NEVER_MATCHES, entry(organisation), "it has no API key");
        }
        if (organisation.quota().limited()
                && organisation.quota().callsPerS() < 1
                && organisation.quota().burst() < 1) {
            add(Concern.CONTRADICTION, entry(organisation), "its rate and burst together never allow a whole call");
        }
        for (Route route : config.routes()) {
            Set<String> homes = route.access().regions();
            if (!route.access().anonymous()
                    && !homes.isEmpty()
                    && !organisation.regions().isEmpty()
                    && Collections.disjoint(homes, organisation.regions())) {
                add(
                        Concern.CONTRADICTION,
                        entry(organisation),
                        "no region may serve its calls on route " + route.name());
            }
        }
    }

    private void add(Concern concern, String entry, String text) {
        findings.add(new ReviewFinding(concern, entry, text));
    }

    /**
     * Compares a configuration with the one in force.
     *
     * @param inForce the configuration in force
     * @param next the new configuration
     * @return the entries that differ, sorted by kind and name
     */
    public static List<EntryChange> changes(ReviewedConfig inForce, ReviewedConfig next) {
        Map<String, Object> before = entries(inForce);
        Map<String, Object> after = entries(next);
        Set<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        return names.stream()
                .filter(name -> !Objects.equals(before.get(name), after.get(name)))
                .map(name -> new EntryChange(name, change(before.containsKey(name), after.containsKey(name))))
                .toList();
    }

    private static Change change(boolean before, boolean after) {
        if (before && after) {
            return Change.CHANGED;
        }
        return after ? Change.ADDED : Change.REMOVED;
    }

    private static Map<String, Object> entries(ReviewedConfig config) {
        Map<String, Object> entries = new TreeMap<>();
        config.routes().forEach(route -> entries.putIfAbsent(entry(route), route));
        config.services().forEach((name, service) -> entries.put("service " + name, service));
        config.resources().forEach(resource -> entries.put("resource " + resource, resource));
        Organisations organisations = config.organisations();
        organisations.all().forEach(organisation -> entries.put(entry(organisation), organisation));
        return entries;
    }

    private static String entry(Route route) {
        return "route " + route.name();
    }

    private static String entry(Organisation organisation) {
        return "organisation " + organisation.name();
    }
}

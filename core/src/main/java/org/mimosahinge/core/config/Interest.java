package org.mimosahinge.core.config;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.mimosahinge.api.config.RevisedSection;
import org.mimosahinge.api.contract.Section;

/**
 * The services whose callers a node or its subtree serves, and the sections that the node needs for them.
 *
 * <p>The selection consists of the sections that own such a service or have a route to it, of all sections with
 * organisations, as a caller of any of them may call the node, and transitively of all sections that a route of a
 * selected section refers to. It is therefore closed: the service and the resources of each of its routes are included.
 * It is monotonic in the interest, so a parent that holds the union of its subtree can select for each child.
 *
 * @param services names of services; empty means all
 */
public record Interest(Set<String> services) {
    /** Interest in all services. */
    public static final Interest ALL = new Interest(Set.of());

    /** Copies the names. */
    public Interest {
        services = Set.copyOf(services);
    }

    /**
     * Returns the union of two interests.
     *
     * @param other the other interest
     * @return the union
     */
    public Interest union(Interest other) {
        if (services.isEmpty() || other.services.isEmpty()) {
            return ALL;
        }
        return new Interest(
                Stream.concat(services.stream(), other.services.stream()).collect(Collectors.toUnmodifiableSet()));
    }

    /**
     * Selects the sections that a node with this interest holds.
     *
     * @param all sections by team
     * @return the selected sections by team
     */
    SortedMap<String, RevisedSection> select(SortedMap<String, RevisedSection> all) {
        if (services.isEmpty()) {
            return all;
        }
        SortedMap<String, RevisedSection> selected = new TreeMap<>();
        Deque<RevisedSection> pending = new ArrayDeque<>();
        all.values().stream()
                .filter(revised -> !revised.section().organisations().isEmpty()
                        || ownsAny(revised.section(), services)
                        || revised.section().routes().stream()
                                .anyMatch(route -> services.contains(route.firstService())))
                .forEach(pending::add);
        while (!pending.isEmpty()) {
            RevisedSection next = pending.remove();
            if (selected.put(next.section().team(), next) == null) {
                all.values().stream()
                        .filter(candidate ->
                                !selected.containsKey(candidate.section().team()))
                        .filter(candidate -> refersTo(next.section(), candidate.section()))
                        .forEach(pending::add);
            }
        }
        return selected;
    }

    private static boolean refersTo(Section from, Section to) {
        return from.routes().stream()
                .anyMatch(route -> ownsAny(to, Set.of(route.firstService()))
                        || route.resources().stream().anyMatch(to.resources()::contains));
    }

    private static boolean ownsAny(Section section, Collection<String> services) {
        return section.services().stream().anyMatch(service -> services.contains(service.name()));
    }
}

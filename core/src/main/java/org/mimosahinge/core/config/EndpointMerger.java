package org.mimosahinge.core.config;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.LogicalTimestamp;

/** Merges endpoint states. The result does not depend on the order of arrival, so all nodes converge to it. */
public final class EndpointMerger {
    private static final Comparator<Endpoint> LATEST =
            Comparator.comparing(Endpoint::timestamp).thenComparing(Endpoint::state);

    private EndpointMerger() {}

    /**
     * Merges received states into the current endpoints.
     *
     * @param current endpoints by service
     * @param updates the states received
     * @return the merged endpoints, the same map if nothing changes
     */
    static Map<String, List<Endpoint>> merge(Map<String, List<Endpoint>> current, Collection<Endpoint> updates) {
        Map<String, Endpoint> byId = new HashMap<>();
        current.values().forEach(endpoints -> endpoints.forEach(endpoint -> byId.put(endpoint.id(), endpoint)));
        Set<String> changed = new HashSet<>();
        for (Endpoint update : updates) {
            Endpoint previous = byId.get(update.id());
            if (previous == null || LATEST.compare(previous, update) < 0) {
                byId.put(update.id(), update);
                changed.add(service(update));
                if (previous != null) {
                    // A backend server of another service may start at the same address, so both services change.
                    changed.add(service(previous));
                }
            }
        }
        return changed.isEmpty() ? current : replaceServices(current, changed, byId.values());
    }

    /**
     * Returns the tombstones of a failed node, which replace every state of the failed incarnation.
     *
     * <p>The relay sends them like other states, so a node that did not know the endpoint also stores the tombstone and
     * ignores a late older state.
     *
     * @param current endpoints by service
     * @param removal the failed node
     * @return one tombstone for each endpoint that the failure changes
     */
    public static List<Endpoint> tombstones(Map<String, List<Endpoint>> current, NodeRemoval removal) {
        LogicalTimestamp tombstoneTimestamp = new LogicalTimestamp(removal.incarnation(), Long.MAX_VALUE);
        return current.values().stream()
                .flatMap(List::stream)
                .filter(endpoint -> endpoint.node().id().equals(removal.node())
                        && endpoint.timestamp().compareTo(tombstoneTimestamp) < 0)
                .map(endpoint -> new Endpoint(
                        endpoint.id(), endpoint.server(), endpoint.node(), EndpointState.GONE, tombstoneTimestamp))
                .toList();
    }

    /**
     * Removes tombstones.
     *
     * @param current endpoints by service
     * @param endpointIds identifiers of the tombstones
     * @return the remaining endpoints, the same map if nothing changes
     */
    static Map<String, List<Endpoint>> pruneTombstones(Map<String, List<Endpoint>> current, Set<String> endpointIds) {
        List<Endpoint> all = current.values().stream().flatMap(List::stream).toList();
        List<Endpoint> remaining = all.stream()
                .filter(endpoint -> endpoint.state() != EndpointState.GONE || !endpointIds.contains(endpoint.id()))
                .toList();
        return remaining.size() == all.size() ? current : replaceServices(current, current.keySet(), remaining);
    }

    /**
     * Returns the timestamp with which a live node refutes the removal of its own endpoint.
     *
     * @param local the endpoint's state as known to its own node
     * @param received a state of the same endpoint received from another node
     * @return the timestamp of the node's next announcement, empty if there is nothing to refute
     */
    public static Optional<LogicalTimestamp> refutation(Endpoint local, Endpoint received) {
        boolean removed = received.state() == EndpointState.GONE
                && local.state() != EndpointState.GONE
                && received.timestamp().compareTo(local.timestamp()) >= 0;
        return removed
                ? Optional.of(new LogicalTimestamp(received.timestamp().incarnation() + 1, 0))
                : Optional.empty();
    }

    private static Map<String, List<Endpoint>> replaceServices(
            Map<String, List<Endpoint>> current, Set<String> services, Collection<Endpoint> all) {
        Map<String, List<Endpoint>> result = new HashMap<>(current);
        result.keySet().removeAll(services);
        result.putAll(all.stream()
                .filter(endpoint -> services.contains(service(endpoint)))
                .sorted(Comparator.comparing(Endpoint::id))
                .collect(Collectors.groupingBy(EndpointMerger::service, Collectors.toUnmodifiableList())));
        return result;
    }

    private static String service(Endpoint endpoint) {
        return endpoint.server().service();
    }
}

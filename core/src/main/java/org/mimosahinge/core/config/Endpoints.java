package org.mimosahinge.core.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.EndpointState;
import org.mimosahinge.api.world.Stamp;

/** Merges states of endpoints so that every node ends with the same result in whatever order they arrive. */
public final class Endpoints {
    private static final Comparator<Endpoint> LATEST =
            Comparator.comparing(Endpoint::stamp).thenComparing(Endpoint::state);

    private Endpoints() {}

    /**
     * Merges one state.
     *
     * @param known endpoints by service
     * @param update the state received
     * @return the merged endpoints, the same map when nothing changes
     */
    static Map<String, List<Endpoint>> merge(Map<String, List<Endpoint>> known, Endpoint update) {
        Optional<Endpoint> held = find(known, update.id());
        if (held.isPresent() && LATEST.compare(held.get(), update) >= 0) {
            return known;
        }
        Map<String, List<Endpoint>> merged = new HashMap<>(known);
        // A backend server may return at the same address for another service.
        held.ifPresent(old -> without(merged, old));
        List<Endpoint> ofService = new ArrayList<>(merged.getOrDefault(service(update), List.of()));
        ofService.add(update);
        ofService.sort(Comparator.comparing(Endpoint::id));
        merged.put(service(update), List.copyOf(ofService));
        return merged;
    }

    /**
     * Turns the endpoints of a failed node into tombstones that no state of the failed incarnation can replace.
     *
     * @param known endpoints by service
     * @param removal the failed node
     * @return the endpoints, the same map when nothing changes
     */
    static Map<String, List<Endpoint>> remove(Map<String, List<Endpoint>> known, NodeRemoval removal) {
        Stamp last = new Stamp(removal.incarnation(), Long.MAX_VALUE);
        return mapEach(known, endpoint -> {
            boolean applies = endpoint.node().id().equals(removal.node())
                    && endpoint.stamp().compareTo(last) < 0;
            return applies
                    ? new Endpoint(endpoint.id(), endpoint.server(), endpoint.node(), EndpointState.GONE, last)
                    : endpoint;
        });
    }

    /**
     * Forgets tombstones.
     *
     * @param known endpoints by service
     * @param endpointIds the tombstones
     * @return the remaining endpoints, the same map when nothing changes
     */
    static Map<String, List<Endpoint>> prune(Map<String, List<Endpoint>> known, Set<String> endpointIds) {
        return mapEach(
                known,
                endpoint -> endpoint.state() == EndpointState.GONE && endpointIds.contains(endpoint.id())
                        ? null
                        : endpoint);
    }

    /**
     * Tells how a live node contradicts a wrong removal of its own endpoint.
     *
     * @param own the endpoint's state as its own node knows it
     * @param heard a state of the same endpoint from another node
     * @return the stamp for the node's next announcement, empty when nothing has to be contradicted
     */
    public static Optional<Stamp> refutation(Endpoint own, Endpoint heard) {
        boolean removed = heard.state() == EndpointState.GONE
                && own.state() != EndpointState.GONE
                && heard.stamp().compareTo(own.stamp()) >= 0;
        return removed ? Optional.of(new Stamp(heard.stamp().incarnation() + 1, 0)) : Optional.empty();
    }

    private static Optional<Endpoint> find(Map<String, List<Endpoint>> known, String id) {
        return known.values().stream()
                .flatMap(List::stream)
                .filter(endpoint -> endpoint.id().equals(id))
                .findFirst();
    }

    private static void without(Map<String, List<Endpoint>> endpoints, Endpoint old) {
        List<Endpoint> rest = endpoints.get(service(old)).stream()
                .filter(endpoint -> !endpoint.id().equals(old.id()))
                .toList();
        putOrRemove(endpoints, service(old), rest);
    }

    private static Map<String, List<Endpoint>> mapEach(
            Map<String, List<Endpoint>> known, UnaryOperator<Endpoint> change) {
        Map<String, List<Endpoint>> changed = new HashMap<>();
        known.forEach((service, endpoints) -> putOrRemove(
                changed,
                service,
                endpoints.stream()
                        .map(change)
                        .filter(endpoint -> endpoint != null)
                        .toList()));
        return changed.equals(known) ? known : changed;
    }

    private static void putOrRemove(Map<String, List<Endpoint>> endpoints, String service, List<Endpoint> ofService) {
        if (ofService.isEmpty()) {
            endpoints.remove(service);
        } else {
            endpoints.put(service, ofService);
        }
    }

    private static String service(Endpoint endpoint) {
        return endpoint.server().service();
    }
}

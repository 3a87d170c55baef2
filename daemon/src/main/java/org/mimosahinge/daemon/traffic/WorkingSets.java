package org.mimosahinge.daemon.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.world.Endpoint;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.core.placement.PreferenceOrder;

/** Keeps the node's order of preference of each service until the known endpoints change. */
final class WorkingSets {

    private final Node self;
    private final Map<String, PreferenceOrder> orders = new HashMap<>();
    private Map<String, List<Endpoint>> builtFrom = Map.of();

    WorkingSets(Node self) {
        this.self = self;
    }

    PreferenceOrder order(String service, Snapshot snapshot) {
        Map<String, List<Endpoint>> endpoints = snapshot.endpoints();
        if (builtFrom != endpoints) {
            if (!builtFrom.equals(endpoints)) {
                orders.clear();
            }
            builtFrom = endpoints;
        }
        return orders.computeIfAbsent(
                service, name -> PreferenceOrder.of(self, endpoints.getOrDefault(name, List.of()), endpoints.values()));
    }
}

package org.mimosahinge.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.mimosahinge.api.contract.CallClass;

/**
 * Order in which waiting calls of several organisations get slots: internal checks, then one call of each starved
 * organisation, then by class, within a class by the recent use of the organisation, and within an organisation by
 * deadline and arrival. Each call counts as use for those of its organisation behind it.
 */
final class FairOrder {

    private final OrganisationShares shares;
    private final double slotMs;
    private final long nowMs;
    private final Map<String, Double> shareByOrganisation = new HashMap<>();

    private FairOrder(OrganisationShares shares, double slotMs, long nowMs) {
        this.shares = shares;
        this.slotMs = slotMs;
        this.nowMs = nowMs;
    }

    /**
     * Returns calls in the order in which they get slots.
     *
     * @param calls the calls
     * @param shares recent use by organisation
     * @param slotMs time for which a call occupies a slot
     * @param nowMs the current time
     */
    static List<SlotRequest> of(Collection<SlotRequest> calls, OrganisationShares shares, double slotMs, long nowMs) {
        return new FairOrder(shares, Math.max(1, slotMs), nowMs).sort(calls);
    }

    private List<SlotRequest> sort(Collection<SlotRequest> calls) {
        List<SlotRequest> sorted = new ArrayList<>();
        Map<CallClass, TreeSet<SlotRequest>> byClass = new TreeMap<>();
        Set<String> seen = new HashSet<>();
        Collection<SlotRequest> ofStarved = new ArrayList<>();
        for (SlotRequest call : new TreeSet<>(calls)) {
            if (call.callClass() == CallClass.INTERNAL_CHECK) {
                sorted.add(call);
            } else if (seen.add(call.organisation()) && shares.starved(call.organisation(), nowMs)) {
                ofStarved.add(call);
            } else {
                byClass.computeIfAbsent(call.callClass(), key -> new TreeSet<>())
                        .add(call);
            }
        }
        addByShare(ofStarved, sorted);
        byClass.values().forEach(ofClass -> addByShare(ofClass, sorted));
        return sorted;
    }

    private void addByShare(Collection<SlotRequest> calls, List<SlotRequest> sorted) {
        Map<String, PriorityQueue<SlotRequest>> byOrganisation = new HashMap<>();
        calls.forEach(call -> byOrganisation
                .computeIfAbsent(call.organisation(), key -> new PriorityQueue<>())
                .add(call));
        PriorityQueue<PriorityQueue<SlotRequest>> next =
                new PriorityQueue<>(Comparator.<PriorityQueue<SlotRequest>>comparingDouble(
                                queue -> share(queue.peek().organisation()))
                        .thenComparing(PriorityQueue::peek));
        next.addAll(byOrganisation.values());
        while (!next.isEmpty()) {
            PriorityQueue<SlotRequest> queue = next.poll();
            SlotRequest call = queue.poll();
            sorted.add(call);
            double used = slotMs / OrganisationUse.TIME_CONSTANT_MS / shares.weight(call.organisation());
            shareByOrganisation.put(call.organisation(), share(call.organisation()) + used);
            if (!queue.isEmpty()) {
                next.add(queue);
            }
        }
    }

    private double share(String organisation) {
        return shareByOrganisation.computeIfAbsent(organisation, name -> shares.share(name, slotMs, nowMs));
    }
}

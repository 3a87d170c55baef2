package org.mimosahinge.core.admission;

import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * Recent use of the slots of one endpoint by organisation, and the share that each may use while the slots do not
 * suffice for all; not thread-safe.
 *
 * <p>Shares are max-min fair by weight: no organisation may use more slots per weight than the level, and what those
 * below the level leave is divided among the others. An organisation that was idle has no use; it is owed its share
 * from now on, but nothing for the time past.
 */
public final class OrganisationShares {

    /** An organisation must not be served less than a quarter as often as all; the rest covers errors of estimate. */
    private static final double MIN_RELATIVE_SERVED = 0.3;

    /** The shares change little within this time. */
    private static final long LEVEL_VALIDITY_MS = 10;

    /** Ordered by the last change, so that the ones to forget come first. */
    private final Map<String, OrganisationUse> uses = new LinkedHashMap<>();

    private OrganisationUse all = OrganisationUse.startingAt(0);
    private double level = Double.POSITIVE_INFINITY;
    private double levelCapacity;
    private long levelAtMs = Long.MIN_VALUE;

    /**
     * Counts a call that arrives.
     *
     * @param organisation name of its organisation
     * @param weight what the organisation is owed relative to others
     * @param timelySlotMs time for which the call would occupy a slot, 0 if it would end too late
     * @param nowMs the current time
     */
    public void arrived(String organisation, double weight, double timelySlotMs, long nowMs) {
        forgetIdle(nowMs);
        update(organisation, nowMs, use -> use.withArrival(weight, timelySlotMs));
        all = all.at(nowMs).withArrival(1, timelySlotMs);
    }

    /**
     * Counts a call that gets a slot.
     *
     * @param organisation name of its organisation
     * @param nowMs the current time
     */
    public void started(String organisation, long nowMs) {
        update(organisation, nowMs, OrganisationUse::withStart);
        all = all.at(nowMs).withStart();
    }

    /**
     * Counts a call that ends without a slot.
     *
     * @param organisation name of its organisation
     * @param nowMs the current time
     */
    public void refused(String organisation, long nowMs) {
        update(organisation, nowMs, OrganisationUse::withRefusal);
        all = all.at(nowMs).withRefusal();
    }

    /**
     * Counts a call that releases its slot.
     *
     * @param organisation name of its organisation
     * @param nowMs the current time
     */
    public void ended(String organisation, long nowMs) {
        update(organisation, nowMs, OrganisationUse::withEnd);
        all = all.at(nowMs).withEnd();
    }

    /**
     * Returns the slots that an organisation used recently, by weight.
     *
     * @param organisation its name
     * @param slotMs time for which a call occupies a slot
     * @param nowMs the current time
     * @return number of slots of average use, divided by the weight
     */
    double share(String organisation, double slotMs, long nowMs) {
        return use(organisation, nowMs).share(slotMs);
    }

    /** Returns the weight of an organisation. */
    double weight(String organisation) {
        OrganisationUse use = uses.get(organisation);
        return use == null ? 1 : use.weight();
    }

    /**
     * Returns whether an organisation uses more than its share of slots that do not suffice for all.
     *
     * @param organisation its name
     * @param slots slots that organisations may use
     * @param slotMs time for which a call occupies a slot
     * @param nowMs the current time
     * @return false while there are slots for all, and for an organisation that is served much more rarely than others
     */
    public boolean aboveShare(String organisation, int slots, double slotMs, long nowMs) {
        return contended(slots, nowMs)
                && share(organisation, slotMs, nowMs) > level(Math.max(1, slots), nowMs)
                && !starved(organisation, nowMs);
    }

    /**
     * Returns whether the slots do not suffice for the recent calls of all organisations.
     *
     * @param slots slots that organisations may use
     * @param nowMs the current time
     * @return true under overload
     */
    public boolean contended(int slots, long nowMs) {
        return all.at(nowMs).demandedSlots() > Math.max(1, slots);
    }

    /**
     * Returns whether an organisation is served so much more rarely than all that its next call goes first.
     *
     * @param organisation its name
     * @param nowMs the current time
     * @return true if the fraction of its calls that got a slot is too small, compared with that of all calls
     */
    public boolean starved(String organisation, long nowMs) {
        OrganisationUse use = use(organisation, nowMs);
        OrganisationUse total = all.at(nowMs);
        return use.started() * total.decided() < MIN_RELATIVE_SERVED * total.started() * use.decided();
    }

    /**
     * Returns the number of organisations of which the use is kept.
     *
     * @return number of organisations that were seen recently
     */
    public int size() {
        return uses.size();
    }

    private double level(double capacity, long nowMs) {
        if (nowMs - levelAtMs >= LEVEL_VALIDITY_MS || capacity != levelCapacity || levelAtMs == Long.MIN_VALUE) {
            List<OrganisationUse> latest =
                    uses.values().stream().map(use -> use.at(nowMs)).toList();
            level = level(latest, capacity);
            levelCapacity = capacity;
            levelAtMs = nowMs;
        }
        return level;
    }

    /** Returns the use by weight that no organisation may exceed if slots are divided by max-min fairness. */
    static double level(List<OrganisationUse> uses, double capacity) {
        List<OrganisationUse> byDemand = uses.stream()
                .sorted(Comparator.comparingDouble(use -> use.demandedSlots() / use.weight()))
                .toList();
        double left = capacity;
        double weightLeft =
                byDemand.stream().mapToDouble(OrganisationUse::weight).sum();
        for (OrganisationUse use : byDemand) {
            if (use.demandedSlots() / use.weight() > left / weightLeft) {
                return left / weightLeft;
            }
            left -= use.demandedSlots();
            weightLeft -= use.weight();
        }
        return Double.POSITIVE_INFINITY;
    }

    private OrganisationUse use(String organisation, long nowMs) {
        OrganisationUse use = uses.get(organisation);
        return use == null ? OrganisationUse.startingAt(nowMs) : use.at(nowMs);
    }

    private void update(String organisation, long nowMs, UnaryOperator<OrganisationUse> change) {
        OrganisationUse latest = use(organisation, nowMs);
        uses.remove(organisation);
        uses.put(organisation, change.apply(latest));
    }

    private void forgetIdle(long nowMs) {
        Iterator<OrganisationUse> oldestFirst = uses.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next().forgotten(nowMs)) {
            oldestFirst.remove();
        }
    }
}

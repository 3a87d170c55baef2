package org.mimosahinge.core.config;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.mimosahinge.api.config.ConfigUpdate;
import org.mimosahinge.api.config.HaltMark;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.config.RevisedSection;
import org.mimosahinge.api.config.Snapshot;
import org.mimosahinge.api.contract.CallerLimits;
import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.contract.TrafficRules;
import org.mimosahinge.api.error.UpdateRejectedException;
import org.mimosahinge.api.world.Endpoint;

/** Derives the next snapshot from the current one. A change is applied completely or rejected. */
public final class SnapshotBuilder {
    private static final Comparator<Route> LONGEST_PREFIX_FIRST = Comparator.comparingInt(
                    (Route route) -> -route.pathPrefix().length())
            .thenComparing(Route::pathPrefix)
            .thenComparing(Route::name);

    private SnapshotBuilder() {}

    /** How an update relates to the version in force. */
    public enum Fit {
        /** The update applies. */
        NEXT,
        /** The version in force is the same or later, so the update is ignored. */
        STALE,
        /** Updates in between are missing, so the node requests full state. */
        GAP
    }

    /**
     * Tells whether an update applies to a snapshot.
     *
     * @param current the snapshot in force
     * @param update the update received
     * @return whether the update is next, stale or leaves a gap
     */
    public static Fit fit(Snapshot current, ConfigUpdate update) {
        if (update.version() <= current.version()) {
            return Fit.STALE;
        }
        return update.isFullState() || update.baseVersion() == current.version() ? Fit.NEXT : Fit.GAP;
    }

    /**
     * Applies an update of a later version.
     *
     * @param current the snapshot in force
     * @param update a delta based on the version in force, or full state
     * @return the snapshot of the update's version; endpoints and the proof of being current are retained
     */
    public static Snapshot apply(Snapshot current, ConfigUpdate update) {
        Fit fit = fit(current, update);
        if (fit != Fit.NEXT) {
            throw rejected(
                    current, update, fit == Fit.STALE ? "its version is not newer" : "its base version does not match");
        }
        SortedMap<String, RevisedSection> sections = new TreeMap<>();
        if (!update.isFullState()) {
            sections.putAll(current.sections());
            sections.keySet().removeAll(update.removedTeams());
        }
        sections.putAll(update.sections());
        return build(current, update, sections);
    }

    /**
     * Adds sections of the version in force after the node's interest has been extended.
     *
     * <p>The version number does not tell which sections a node holds, so {@link #apply} cannot do this. A late
     * response to a request with a narrower interest is rejected, because it would remove sections.
     *
     * @param current the snapshot in force
     * @param update full state of the same version with at least the sections in force
     * @return the snapshot with all sections of the update
     */
    public static Snapshot addSections(Snapshot current, ConfigUpdate update) {
        if (!update.isFullState() || update.version() != current.version()) {
            throw rejected(current, update, "only full state of the same version can add sections");
        }
        if (!update.sections().keySet().containsAll(current.sections().keySet())) {
            throw rejected(current, update, "it lacks sections that are in force");
        }
        return build(current, update, update.sections());
    }

    /**
     * Records the state of an endpoint if its timestamp is the latest.
     *
     * <p>An endpoint that is gone is retained as a tombstone, so that a late older state cannot revive it. With equal
     * timestamps the later {@link org.mimosahinge.api.world.EndpointState} wins, which makes the result independent of
     * the order of arrival.
     *
     * @param current the snapshot in force
     * @param endpoint the endpoint's state
     * @return the snapshot with this state, or the same snapshot if nothing changes
     */
    public static Snapshot withEndpoint(Snapshot current, Endpoint endpoint) {
        return withEndpoints(current, List.of(endpoint));
    }

    /**
     * Records the states of several endpoints.
     *
     * @param current the snapshot in force
     * @param endpoints the states
     * @return the snapshot with these states, or the same snapshot if nothing changes
     */
    public static Snapshot withEndpoints(Snapshot current, Collection<Endpoint> endpoints) {
        return replaceEndpoints(current, EndpointMerger.merge(current.endpoints(), endpoints));
    }

    /**
     * Marks all endpoints of a failed node as gone.
     *
     * @param current the snapshot in force
     * @param removal the failed node and its incarnation
     * @return the snapshot without live endpoints of this and earlier incarnations
     */
    public static Snapshot withNodeRemoved(Snapshot current, NodeRemoval removal) {
        return withEndpoints(current, EndpointMerger.tombstones(current.endpoints(), removal));
    }

    /**
     * Removes tombstones.
     *
     * @param current the snapshot in force
     * @param endpointIds tombstones older than the longest possible delay of an update
     * @return the snapshot without these tombstones; live endpoints are retained
     */
    public static Snapshot withoutTombstones(Snapshot current, Set<String> endpointIds) {
        return replaceEndpoints(current, EndpointMerger.pruneTombstones(current.endpoints(), endpointIds));
    }

    /**
     * Adds a halt mark unless a newer section revision has already cleared it.
     *
     * @param current the snapshot in force
     * @param mark the mark
     * @return the snapshot with the mark, or the same snapshot if nothing changes
     */
    public static Snapshot withHaltMark(Snapshot current, HaltMark mark) {
        if (isCleared(mark, current.serviceRevisions()) || current.haltMarks().contains(mark)) {
            return current;
        }
        Set<HaltMark> haltMarks = new HashSet<>(current.haltMarks());
        haltMarks.add(mark);
        return copy(current, current.endpoints(), haltMarks, current.provenCurrent());
    }

    /**
     * Sets whether calls may be routed by the version in force.
     *
     * @param current the snapshot in force
     * @param provenCurrent whether the version is proven to be recent enough
     * @return the snapshot with this proof
     */
    public static Snapshot withProvenCurrent(Snapshot current, boolean provenCurrent) {
        return current.provenCurrent() == provenCurrent
                ? current
                : copy(current, current.endpoints(), current.haltMarks(), provenCurrent);
    }

    private static Snapshot build(Snapshot current, ConfigUpdate update, SortedMap<String, RevisedSection> sections) {
        SortedMap<String, MoveState> moves = new TreeMap<>();
        if (!update.isFullState()) {
            moves.putAll(current.moves());
            moves.keySet().removeAll(update.removedMoves());
        }
        moves.putAll(update.moves());
        List<Section> contents =
                sections.values().stream().map(RevisedSection::section).toList();
        List<String> unresolved = ReferenceChecker.unresolved(contents, moves.values());
        if (!unresolved.isEmpty()) {
            throw rejected(current, update, String.join("; ", unresolved));
        }
        Map<String, Service> services = new HashMap<>();
        Map<String, Long> revisions = new HashMap<>();
        sections.values().forEach(revised -> revised.section().services().forEach(service -> {
            services.put(service.name(), service);
            revisions.put(service.name(), revised.revision());
        }));
        List<Route> routes = contents.stream()
                .flatMap(section -> section.routes().stream())
                .sorted(LONGEST_PREFIX_FIRST)
                .toList();
        Set<HaltMark> haltMarks = current.haltMarks().stream()
                .filter(mark -> !isCleared(mark, revisions))
                .collect(Collectors.toUnmodifiableSet());
        return new Snapshot(
                update.version(),
                sections,
                services,
                revisions,
                routes,
                moves,
                current.endpoints(),
                haltMarks,
                current.provenCurrent(),
                CallerLimits.DEFAULT,
                rules(current, contents));
    }

    private static TrafficRules rules(Snapshot current, List<Section> contents) {
        Organisations organisations = Organisations.of(ReferenceChecker.organisations(contents));
        return organisations.equals(current.rules().organisations())
                ? current.rules()
                : new TrafficRules(
                        organisations,
                        current.rules().coldStarts(),
                        current.rules().evacuatedZones());
    }

    // Marks of unknown services are retained: they may arrive over the tree before the section does.
    private static boolean isCleared(HaltMark mark, Map<String, Long> revisions) {
        return mark.sectionRevision() < revisions.getOrDefault(mark.service(), 0L);
    }

    private static Snapshot replaceEndpoints(Snapshot current, Map<String, List<Endpoint>> endpoints) {
        return endpoints == current.endpoints()
                ? current
                : copy(current, endpoints, current.haltMarks(), current.provenCurrent());
    }

    private static Snapshot copy(
            Snapshot current, Map<String, List<Endpoint>> endpoints, Set<HaltMark> haltMarks, boolean provenCurrent) {
        return new Snapshot(
                current.version(),
                current.sections(),
                current.services(),
                current.serviceRevisions(),
                current.routes(),
                current.moves(),
                endpoints,
                haltMarks,
                provenCurrent,
                CallerLimits.DEFAULT,
                current.rules());
    }

    private static UpdateRejectedException rejected(Snapshot current, ConfigUpdate update, String reason) {
        return new UpdateRejectedException("Update to version " + update.version() + " based on " + update.baseVersion()
                + " does not apply to version " + current.version() + ": " + reason);
    }
}

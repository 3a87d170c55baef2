package org.mimosahinge.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mimosahinge.api.config.MovePhase;
import org.mimosahinge.api.config.MoveState;
import org.mimosahinge.api.contract.Organisation;
import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.error.DuplicateNameException;

/** Finds references between sections that do not resolve, and organisations that two of them define. */
final class ReferenceChecker {
    private ReferenceChecker() {}

    /**
     * Returns the unresolved references in a set of sections and their moves.
     *
     * @param sections all sections of one version
     * @param moves all moves of the same version
     * @return one message per unresolved reference, empty if all resolve
     */
    static List<String> unresolved(Collection<Section> sections, Collection<MoveState> moves) {
        List<String> problems = new ArrayList<>();
        Map<String, Service> services = new HashMap<>();
        Set<String> resources = new HashSet<>();
        for (Section section : sections) {
            resources.addAll(section.resources());
            for (Service service : section.services()) {
                if (services.put(service.name(), service) != null) {
                    problems.add("service \"" + service.name() + "\" is defined by two sections");
                }
            }
        }
        services.values().forEach(service -> checkService(service, problems));
        sections.forEach(section ->
                section.routes().forEach(route -> checkRoute(section.team(), route, services, resources, problems)));
        moves.forEach(move -> checkMove(move, services, problems));
        checkOrganisations(sections, problems);
        return problems;
    }

    private static void checkService(Service service, List<String> problems) {
        checkVersion(service, service.currentVersion(), problems);
        service.move().ifPresent(move -> checkVersion(service, move.to(), problems));
    }

    private static void checkRoute(
            String team, Route route, Map<String, Service> services, Set<String> resources, List<String> problems) {
        String prefix = "route \"" + team + "/" + route.name() + "\" refers to ";
        if (!services.containsKey(route.firstService())) {
            problems.add(prefix + "unknown service \"" + route.firstService() + "\"");
        }
        route.resources().stream()
                .filter(resource -> !resources.contains(resource))
                .sorted()
                .forEach(resource -> problems.add(prefix + "unknown resource \"" + resource + "\""));
    }

    private static void checkMove(MoveState move, Map<String, Service> services, List<String> problems) {
        Service service = services.get(move.service());
        if (service == null) {
            problems.add("move of unknown service \"" + move.service() + "\"");
        } else if (move.phase() == MovePhase.PLANNED || move.phase() == MovePhase.RUNNING) {
            // An ended move may refer to a version that a later section revision has removed.
            checkVersion(service, move.from(), problems);
            checkVersion(service, move.to(), problems);
        }
    }

    private static void checkOrganisations(Collection<Section> sections, List<String> problems) {
        try {
            Organisations.of(organisations(sections));
        } catch (DuplicateNameException e) {
            problems.add(e.getMessage());
        }
    }

    /** Returns the organisations of all sections. */
    static List<Organisation> organisations(Collection<Section> sections) {
        return sections.stream()
                .flatMap(section -> section.organisations().stream())
                .toList();
    }

    private static void checkVersion(Service service, String version, List<String> problems) {
        if (!service.versions().contains(version)) {
            problems.add("service \"" + service.name() + "\" has no version \"" + version + "\"");
        }
    }
}

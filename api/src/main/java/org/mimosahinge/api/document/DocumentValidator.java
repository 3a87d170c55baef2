package org.mimosahinge.api.document;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import org.mimosahinge.api.contract.Organisation;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.Problem;

/** Validates a candidate document across its sections: team names, unique names and keys, and references. */
public final class DocumentValidator {
    private final Map<String, Section> sections;
    private final List<Problem> problems = new ArrayList<>();

    private DocumentValidator(Map<String, Section> sections) {
        this.sections = new TreeMap<>(sections);
    }

    /**
     * Validates all sections together.
     *
     * <p>The file of a problem is the team of its section. Its line and column are 0, see {@link ProblemLocator}.
     *
     * @param sections sections by team
     * @return all problems; empty if the document is consistent
     */
    public static List<Problem> validate(Map<String, Section> sections) {
        DocumentValidator validator = new DocumentValidator(sections);
        validator.checkTeamNames();
        validator.checkUnique("services", "name", Section::services, Service::name);
        validator.checkUnique("routes", "pathPrefix", Section::routes, Route::pathPrefix);
        validator.checkUnique("organisations", "name", Section::organisations, Organisation::name);
        validator.checkUniqueKeys();
        validator.checkReferences();
        return List.copyOf(validator.problems);
    }

    private void checkTeamNames() {
        sections.forEach((team, section) -> {
            if (!team.equals(section.team())) {
                report(ErrorCode.INVALID_VALUE, team, "team", section.team(), team);
            }
        });
    }

    private <T> void checkUnique(
            String listName, String fieldName, Function<Section, List<T>> items, Function<T, String> value) {
        Map<String, String> owners = new HashMap<>();
        sections.forEach((team, section) -> {
            int index = 0;
            for (T item : items.apply(section)) {
                String owner = owners.putIfAbsent(value.apply(item), team);
                if (owner != null) {
                    String path = listName + "[" + index + "]." + fieldName;
                    report(ErrorCode.DUPLICATE_NAME, team, path, value.apply(item), "a value not used by " + owner);
                }
                index++;
            }
        });
    }

    private void checkUniqueKeys() {
        Map<String, String> owners = new HashMap<>();
        sections.forEach((team, section) -> {
            for (int i = 0; i < section.organisations().size(); i++) {
                Organisation organisation = section.organisations().get(i);
                Set<String> others = new TreeSet<>();
                organisation.keyHashes().forEach(hash -> {
                    String owner = owners.putIfAbsent(hash, organisation.name() + " of " + team);
                    if (owner != null) {
                        others.add(owner);
                    }
                });
                // The path has no index of the key, as the order of the keys is lost in the canonical form.
                if (!others.isEmpty()) {
                    report(
                            ErrorCode.DUPLICATE_NAME,
                            team,
                            "organisations[" + i + "]",
                            organisation.name(),
                            "no API key of " + String.join(", ", others));
                }
            }
        });
    }

    private void checkReferences() {
        Set<String> services = new HashSet<>();
        Set<String> resources = new HashSet<>();
        sections.values().forEach(section -> {
            section.services().forEach(service -> services.add(service.name()));
            resources.addAll(section.resources());
        });
        sections.forEach((team, section) -> {
            for (int i = 0; i < section.routes().size(); i++) {
                Route route = section.routes().get(i);
                String path = "routes[" + i + "]";
                if (!services.contains(route.firstService())) {
                    report(
                            ErrorCode.DANGLING_REFERENCE,
                            team,
                            path + ".service",
                            route.firstService(),
                            "a service of some section");
                }
                route.resources().stream()
                        .filter(resource -> !resources.contains(resource))
                        .sorted()
                        .forEach(resource -> report(
                                ErrorCode.DANGLING_REFERENCE,
                                team,
                                path + ".resources",
                                resource,
                                "a resource of some section"));
            }
        });
    }

    private void report(ErrorCode code, String team, String path, String found, String expected) {
        problems.add(new Problem(code, team, 0, 0, path, "\"" + found + "\"", expected));
    }
}

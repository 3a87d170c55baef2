package org.mimosahinge.cli;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.mimosahinge.api.contract.Organisation;
import org.mimosahinge.api.contract.Organisations;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.contract.ServiceShare;
import org.mimosahinge.api.document.SectionParser;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.InvalidDocumentException;
import org.mimosahinge.api.error.Problem;
import org.mimosahinge.api.operator.DocumentView;
import org.mimosahinge.api.operator.OperatorJson;
import org.mimosahinge.api.operator.UnreadableBodyException;
import org.mimosahinge.core.review.ConfigReview;
import org.mimosahinge.core.review.EntryChange;
import org.mimosahinge.core.review.ReviewFinding;
import org.mimosahinge.core.review.ReviewedConfig;

/** Implements {@code check --review}: reviews sections and compares them with what is in force. */
final class ReviewCommand {

    private ReviewCommand() {}

    /**
     * JSON output of {@code check --review}.
     *
     * @param errors problems for which a submission would be refused; without any, the review follows
     * @param warnings entries that are valid and probably not what their author wants
     * @param changes differences from the document in force
     */
    record Review(List<Problem> errors, List<ReviewFinding> warnings, List<EntryChange> changes) {

        ExitCode exit() {
            if (!errors.isEmpty()) {
                return ExitCode.REVIEW_ERRORS;
            }
            return warnings.isEmpty() ? ExitCode.OK : ExitCode.REVIEW_WARNINGS;
        }

        List<String> lines() {
            return Stream.of(
                            errors.stream().map(problem -> "error " + problem),
                            warnings.stream().map(warning -> "warning " + warning.entry() + ": " + warning.text()),
                            changes.stream().map(change -> change.change() + " " + change.entry()))
                    .flatMap(lines -> lines)
                    .toList();
        }
    }

    /**
     * What is in force.
     *
     * @param sections sections by team
     * @param whole whether these are all sections
     */
    private record InForce(Map<String, Section> sections, boolean whole) {

        static final InForce NOTHING = new InForce(Map.of(), false);

        static InForce read(String file, List<Problem> problems) {
            try {
                return read(file);
            } catch (InvalidDocumentException e) {
                problems.addAll(e.problems());
                return NOTHING;
            }
        }

        private static InForce read(String file) {
            byte[] json = FileChecks.read(file);
            Map<String, Section> sections = new HashMap<>();
            try {
                OperatorJson.decode(DocumentView.class, json)
                        .sections()
                        .forEach(view -> sections.put(view.team(), view.content()));
                return new InForce(sections, true);
            } catch (UnreadableBodyException e) {
                // Not the output of the verb document, so it must be one section.
                Section section = SectionParser.parse(file, json);
                return new InForce(Map.of(section.team(), section), false);
            }
        }
    }

    static void review(Invocation invocation) {
        List<Problem> errors = new ArrayList<>();
        Map<String, FileChecks.SectionFile> files = FileChecks.readSections(invocation.arguments(), errors);
        boolean together = invocation.options().has("together");
        InForce inForce = invocation
                .options()
                .text("against")
                .map(file -> InForce.read(file, errors))
                .orElse(InForce.NOTHING);
        Map<String, Section> next = new TreeMap<>(together ? Map.of() : inForce.sections());
        files.forEach((team, file) -> next.put(team, file.section()));
        boolean whole = together || inForce.whole();
        // References to sections that were not given cannot be checked.
        FileChecks.validateTogether(next, files).stream()
                .filter(problem -> whole || problem.code() != ErrorCode.DANGLING_REFERENCE)
                .forEach(errors::add);
        Review review = new Review(errors, List.of(), List.of());
        if (errors.isEmpty()) {
            ReviewedConfig config = config(next.values());
            review = new Review(
                    errors,
                    ConfigReview.findings(whole ? config : withRoutedServices(config)),
                    invocation.options().has("against")
                            ? ConfigReview.changes(config(inForce.sections().values()), config)
                            : List.of());
        }
        invocation.output().accept(new Report(review, review.lines(), review.exit()));
    }

    private static ReviewedConfig config(Collection<Section> sections) {
        List<Route> routes = new ArrayList<>();
        Map<String, Object> services = new HashMap<>();
        Set<String> resources = new HashSet<>();
        List<Organisation> organisations = new ArrayList<>();
        for (Section section : sections) {
            // Names of routes are unique in their section only.
            section.routes().forEach(route -> routes.add(route.withName(section.team() + '/' + route.name())));
            section.services().forEach(service -> services.put(service.name(), service));
            resources.addAll(section.resources());
            organisations.addAll(section.organisations());
        }
        return new ReviewedConfig(routes, services, resources, Organisations.of(organisations));
    }

    /** Keeps a part of a document from being blamed for services and routes of other sections. */
    private static ReviewedConfig withRoutedServices(ReviewedConfig config) {
        Map<String, Object> services = new HashMap<>();
        config.routes().stream()
                .flatMap(route -> route.shares().stream())
                .map(ServiceShare::service)
                .forEach(service -> services.put(service, service));
        return new ReviewedConfig(config.routes(), services, config.resources(), config.organisations());
    }
}

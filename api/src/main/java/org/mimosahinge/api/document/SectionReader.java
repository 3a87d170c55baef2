package org.mimosahinge.api.document;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.Move;
import org.mimosahinge.api.contract.Organisation;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.RouteAccess;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.contract.ServiceLimits;
import org.mimosahinge.api.contract.ServiceShare;
import org.mimosahinge.api.document.Cursor.ValueReader;
import org.mimosahinge.api.error.ErrorCode;

/** Reads a section and performs the checks that do not need other sections. */
final class SectionReader {
    /** Call classes by the name used in documents, in the order in which messages list them. */
    static final Map<String, CallClass> CALL_CLASSES_BY_NAME = callClassesByName();

    static final ValueReader<Section> SECTION = ObjectFields.object(SectionReader::readSection);

    private static final Duration MIN_TIMEOUT = Duration.ofMillis(1);
    private static final Duration MAX_TIMEOUT = Duration.ofHours(1);

    private SectionReader() {}

    private static Optional<Section> readSection(ObjectFields fields) {
        Optional<String> team = fields.required("team", ValueReaders.NAME);
        Optional<Set<String>> resources =
                fields.optional("resources", Set.of(), ValueReaders.nameSet(ValueReaders.NAME));
        Optional<List<Service>> services = fields.optional(
                "services", List.of(), ValueReaders.list(ObjectFields.object(SectionReader::readService)));
        Optional<List<Route>> routes =
                fields.optional("routes", List.of(), ValueReaders.list(ObjectFields.object(SectionReader::readRoute)));
        Optional<List<Organisation>> organisations =
                fields.optional("organisations", List.of(), ValueReaders.list(OrganisationReader.ORGANISATION));
        ValueReaders.reportDuplicates(fields.first("services"), "name");
        ValueReaders.reportDuplicates(fields.first("routes"), "name");
        ValueReaders.reportDuplicates(fields.first("routes"), "pathPrefix");
        ValueReaders.reportDuplicates(fields.first("organisations"), "name");
        OrganisationReader.reportDuplicateKeys(fields.first("organisations"));
        return allPresent(team, resources, services, routes, organisations)
                ? Optional.of(
                        new Section(team.get(), resources.get(), services.get(), routes.get(), organisations.get()))
                : Optional.empty();
    }

    private static Optional<Service> readService(ObjectFields fields) {
        Optional<String> name = fields.required("name", ValueReaders.NAME);
        Optional<List<String>> versions =
                fields.required("versions", ValueReaders.uniqueNames(ValueReaders.IDENTIFIER));
        Optional<String> current = fields.required("current", ValueReaders.IDENTIFIER);
        Optional<Optional<Move>> move =
                fields.optional("move", Optional.empty(), cursor -> moveReader(versions, current)
                        .read(cursor)
                        .map(Optional::of));
        Optional<ServiceLimits> limits =
                fields.optional("limits", ServiceLimits.DEFAULT, ObjectFields.object(SectionReader::readLimits));
        fields.first("versions")
                .filter(value -> versions.isPresent() && versions.get().isEmpty())
                .ifPresent(value -> value.report(ErrorCode.INVALID_VALUE, "at least one version"));
        current.ifPresent(
                version -> fields.first("current").ifPresent(value -> reportUnlistedVersion(versions, version, value)));
        return allPresent(name, versions, current, move, limits)
                ? Optional.of(new Service(name.get(), versions.get(), current.get(), move.get(), limits.get()))
                : Optional.empty();
    }

    private static ValueReader<Move> moveReader(Optional<List<String>> versions, Optional<String> current) {
        return ObjectFields.object(fields -> {
            Optional<String> to = fields.required("to", ValueReaders.IDENTIFIER);
            Optional<Instant> start = fields.required("start", ValueReaders.instant());
            Optional<Instant> deadline = fields.required("deadline", ValueReaders.instant());
            to.ifPresent(version -> fields.first("to").ifPresent(value -> {
                reportUnlistedVersion(versions, version, value);
                if (to.equals(current)) {
                    value.report(ErrorCode.INVALID_VALUE, "a version other than the current one");
                }
            }));
            if (allPresent(start, deadline) && !deadline.get().isAfter(start.get())) {
                fields.first("deadline")
                        .ifPresent(value -> value.report(ErrorCode.INVALID_VALUE, "an instant after the start"));
            }
            return allPresent(to, start, deadline)
                    ? Optional.of(new Move(to.get(), start.get(), deadline.get()))
                    : Optional.empty();
        });
    }

    private static Optional<ServiceLimits> readLimits(ObjectFields fields) {
        Optional<Integer> queue =
                fields.optional("queue", ServiceLimits.DEFAULT.queueCapacity(), ValueReaders.integer(0, 65_536));
        Optional<Integer> retryPercent =
                fields.optional("retryPercent", ServiceLimits.DEFAULT.retryPercent(), ValueReaders.integer(0, 100));
        return allPresent(queue, retryPercent)
                ? Optional.of(new ServiceLimits(queue.get(), retryPercent.get()))
                : Optional.empty();
    }

    private static Optional<Route> readRoute(ObjectFields fields) {
        Optional<String> name = fields.required("name", ValueReaders.NAME);
        Optional<String> prefix = fields.required("pathPrefix", ValueReaders.PATH_PREFIX);
        Optional<String> service = fields.required("service", ValueReaders.NAME);
        Optional<CallClass> callClass = fields.required("callClass", ValueReaders.oneOf(CALL_CLASSES_BY_NAME));
        Optional<Duration> timeout = fields.required("timeout", ValueReaders.duration(MIN_TIMEOUT, MAX_TIMEOUT));
        Optional<Boolean> idempotent = fields.optional("idempotent", false, ValueReaders.bool());
        Optional<Boolean> atMostOnce = fields.optional("atMostOnce", false, ValueReaders.bool());
        Optional<Set<String>> resources =
                fields.optional("resources", Set.of(), ValueReaders.nameSet(ValueReaders.NAME));
        if (idempotent.orElse(false) && atMostOnce.orElse(false)) {
            fields.first("atMostOnce")
                    .ifPresent(value -> value.report(ErrorCode.INVALID_VALUE, "false on an idempotent route"));
        }
        return allPresent(name, prefix, service, callClass, timeout, idempotent, atMostOnce, resources)
                ? Optional.of(new Route(
                        name.get(),
                        "",
                        prefix.get(),
                        List.of(new ServiceShare(service.get(), 1)),
                        callClass.get(),
                        timeout.get(),
                        timeout.get(),
                        Route.DEFAULT_MAX_ATTEMPTS,
                        idempotent.get(),
                        atMostOnce.get(),
                        resources.get(),
                        RouteAccess.STANDARD))
                : Optional.empty();
    }

    private static void reportUnlistedVersion(Optional<List<String>> versions, String version, Cursor value) {
        versions.filter(all -> !all.contains(version))
                .ifPresent(all -> value.report(
                        ErrorCode.DANGLING_REFERENCE, "one of the service's versions " + String.join(", ", all)));
    }

    static boolean allPresent(Optional<?>... values) {
        return Stream.of(values).allMatch(Optional::isPresent);
    }

    private static Map<String, CallClass> callClassesByName() {
        Map<String, CallClass> classes = new LinkedHashMap<>();
        classes.put("internalCheck", CallClass.INTERNAL_CHECK);
        classes.put("confirmation", CallClass.CONFIRMATION);
        classes.put("interactive", CallClass.INTERACTIVE);
        classes.put("download", CallClass.DOWNLOAD);
        classes.put("batch", CallClass.BATCH);
        return classes;
    }
}

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
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.contract.Service;
import org.mimosahinge.api.contract.ServiceLimits;
import org.mimosahinge.api.contract.ServiceShare;
import org.mimosahinge.api.document.Cursor.Reader;
import org.mimosahinge.api.error.ErrorCode;

/** Reads a section and checks what can be checked without the other sections. */
final class SectionReader {
    /** Names of the call classes in a document. */
    static final Map<String, CallClass> CALL_CLASSES = callClasses();

    static final Reader<Section> SECTION = Fields.object(SectionReader::section);

    private static final Duration SHORTEST_TIMEOUT = Duration.ofMillis(1);
    private static final Duration LONGEST_TIMEOUT = Duration.ofHours(1);

    private SectionReader() {}

    private static Optional<Section> section(Fields fields) {
        Optional<String> team = fields.required("team", Readers.NAME);
        Optional<Set<String>> resources = fields.optional("resources", Set.of(), Readers.nameSet(Readers.NAME));
        Optional<List<Service>> services =
                fields.optional("services", List.of(), Readers.list(Fields.object(SectionReader::service)));
        Optional<List<Route>> routes =
                fields.optional("routes", List.of(), Readers.list(Fields.object(SectionReader::route)));
        Readers.reportRepeated(fields.value("services"), "name");
        Readers.reportRepeated(fields.value("routes"), "name");
        Readers.reportRepeated(fields.value("routes"), "pathPrefix");
        return allPresent(team, resources, services, routes)
                ? Optional.of(new Section(team.get(), resources.get(), services.get(), routes.get()))
                : Optional.empty();
    }

    private static Optional<Service> service(Fields fields) {
        Optional<String> name = fields.required("name", Readers.NAME);
        Optional<List<String>> versions = fields.required("versions", Readers.names(Readers.IDENTIFIER));
        Optional<String> current = fields.required("current", Readers.IDENTIFIER);
        Optional<Optional<Move>> move = fields.optional("move", Optional.empty(), cursor -> move(versions, current)
                .read(cursor)
                .map(Optional::of));
        Optional<ServiceLimits> limits =
                fields.optional("limits", ServiceLimits.DEFAULT, Fields.object(SectionReader::limits));
        fields.value("versions")
                .filter(value -> versions.isPresent() && versions.get().isEmpty())
                .ifPresent(value -> value.report(ErrorCode.INVALID_VALUE, "at least one version"));
        current.ifPresent(version -> fields.value("current").ifPresent(value -> among(versions, version, value)));
        return allPresent(name, versions, current, move, limits)
                ? Optional.of(new Service(name.get(), versions.get(), current.get(), move.get(), limits.get()))
                : Optional.empty();
    }

    private static Reader<Move> move(Optional<List<String>> versions, Optional<String> current) {
        return Fields.object(fields -> {
            Optional<String> to = fields.required("to", Readers.IDENTIFIER);
            Optional<Instant> start = fields.required("start", Readers.instant());
            Optional<Instant> deadline = fields.required("deadline", Readers.instant());
            to.ifPresent(version -> fields.value("to").ifPresent(value -> {
                among(versions, version, value);
                if (to.equals(current)) {
                    value.report(ErrorCode.INVALID_VALUE, "a version other than the current one");
                }
            }));
            if (allPresent(start, deadline) && !deadline.get().isAfter(start.get())) {
                fields.value("deadline")
                        .ifPresent(value -> value.report(ErrorCode.INVALID_VALUE, "an instant after the start"));
            }
            return allPresent(to, start, deadline)
                    ? Optional.of(new Move(to.get(), start.get(), deadline.get()))
                    : Optional.empty();
        });
    }

    private static Optional<ServiceLimits> limits(Fields fields) {
        Optional<Integer> queue =
                fields.optional("queue", ServiceLimits.DEFAULT.queueCapacity(), Readers.number(0, 65_536));
        Optional<Integer> retryPercent =
                fields.optional("retryPercent", ServiceLimits.DEFAULT.retryPercent(), Readers.number(0, 100));
        return allPresent(queue, retryPercent)
                ? Optional.of(new ServiceLimits(queue.get(), retryPercent.get()))
                : Optional.empty();
    }

    private static Optional<Route> route(Fields fields) {
        Optional<String> name = fields.required("name", Readers.NAME);
        Optional<String> prefix = fields.required("pathPrefix", Readers.PATH_PREFIX);
        Optional<String> service = fields.required("service", Readers.NAME);
        Optional<CallClass> callClass = fields.required("callClass", Readers.oneOf(CALL_CLASSES));
        Optional<Duration> timeout = fields.required("timeout", Readers.duration(SHORTEST_TIMEOUT, LONGEST_TIMEOUT));
        Optional<Boolean> idempotent = fields.optional("idempotent", false, Readers.flag());
        Optional<Boolean> atMostOnce = fields.optional("atMostOnce", false, Readers.flag());
        Optional<Set<String>> resources = fields.optional("resources", Set.of(), Readers.nameSet(Readers.NAME));
        if (idempotent.orElse(false) && atMostOnce.orElse(false)) {
            fields.value("atMostOnce")
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
                        resources.get()))
                : Optional.empty();
    }

    private static void among(Optional<List<String>> versions, String version, Cursor value) {
        versions.filter(all -> !all.contains(version))
                .ifPresent(all -> value.report(
                        ErrorCode.DANGLING_REFERENCE, "one of the service's versions " + String.join(", ", all)));
    }

    private static boolean allPresent(Optional<?>... values) {
        return Stream.of(values).allMatch(Optional::isPresent);
    }

    private static Map<String, CallClass> callClasses() {
        Map<String, CallClass> names = new LinkedHashMap<>();
        names.put("internalCheck", CallClass.INTERNAL_CHECK);
        names.put("confirmation", CallClass.CONFIRMATION);
        names.put("interactive", CallClass.INTERACTIVE);
        names.put("download", CallClass.DOWNLOAD);
        names.put("batch", CallClass.BATCH);
        return names;
    }
}

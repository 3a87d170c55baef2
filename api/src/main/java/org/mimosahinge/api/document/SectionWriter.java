package org.mimosahinge.api.document;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.Map;
import java.util.TreeSet;
import org.mimosahinge.api.contract.CallClass;
import org.mimosahinge.api.contract.Move;
import org.mimosahinge.api.contract.Organisation;
import org.mimosahinge.api.contract.Route;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.contract.Service;

/** Writes sections in canonical form, so that equal sections have equal bytes and equal object hashes. */
final class SectionWriter {
    private static final JsonFactory FACTORY = new JsonFactory();

    private SectionWriter() {}

    static byte[] write(Section section) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = FACTORY.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeStringField("team", section.team());
            writeNames(out, "resources", new TreeSet<>(section.resources()));
            out.writeArrayFieldStart("services");
            for (Service service : section.services()) {
                writeService(out, service);
            }
            out.writeEndArray();
            out.writeArrayFieldStart("routes");
            for (Route route : section.routes()) {
                writeRoute(out, route);
            }
            out.writeEndArray();
            // Without organisations the field is omitted, since earlier releases do not know it.
            if (!section.organisations().isEmpty()) {
                out.writeArrayFieldStart("organisations");
                for (Organisation organisation : section.organisations()) {
                    writeOrganisation(out, organisation);
                }
                out.writeEndArray();
            }
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void writeService(JsonGenerator out, Service service) throws IOException {
        out.writeStartObject();
        out.writeStringField("name", service.name());
        writeNames(out, "versions", service.versions());
        out.writeStringField("current", service.currentVersion());
        if (service.move().isPresent()) {
            Move move = service.move().get();
            out.writeObjectFieldStart("move");
            out.writeStringField("to", move.to());
            out.writeStringField("start", move.start().toString());
            out.writeStringField("deadline", move.deadline().toString());
            out.writeEndObject();
        }
        out.writeObjectFieldStart("limits");
        out.writeNumberField("queue", service.limits().queueCapacity());
        out.writeNumberField("retryPercent", service.limits().retryPercent());
        out.writeEndObject();
        out.writeEndObject();
    }

    private static void writeRoute(JsonGenerator out, Route route) throws IOException {
        out.writeStartObject();
        out.writeStringField("name", route.name());
        out.writeStringField("pathPrefix", route.pathPrefix());
        out.writeStringField("service", route.firstService());
        out.writeStringField("callClass", callClassName(route.callClass()));
        out.writeStringField("timeout", Durations.format(route.timeout()));
        out.writeBooleanField("idempotent", route.idempotent());
        out.writeBooleanField("atMostOnce", route.atMostOnce());
        writeNames(out, "resources", new TreeSet<>(route.resources()));
        out.writeEndObject();
    }

    private static void writeOrganisation(JsonGenerator out, Organisation organisation) throws IOException {
        out.writeStartObject();
        out.writeStringField("name", organisation.name());
        writeNames(out, "keyHashes", new TreeSet<>(organisation.keyHashes()));
        if (organisation.callClass().isPresent()) {
            out.writeStringField(
                    "priority", callClassName(organisation.callClass().get()));
        }
        out.writeNumberField("rate", organisation.quota().callsPerS());
        out.writeNumberField("burst", organisation.quota().burst());
        writeNames(out, "regions", new TreeSet<>(organisation.regions()));
        out.writeEndObject();
    }

    private static void writeNames(JsonGenerator out, String field, Collection<String> names) throws IOException {
        out.writeArrayFieldStart(field);
        for (String name : names) {
            out.writeString(name);
        }
        out.writeEndArray();
    }

    private static String callClassName(CallClass callClass) {
        return SectionReader.CALL_CLASSES_BY_NAME.entrySet().stream()
                .filter(entry -> entry.getValue() == callClass)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow();
    }
}

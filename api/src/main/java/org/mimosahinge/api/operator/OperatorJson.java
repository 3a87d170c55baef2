package org.mimosahinge.api.operator;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Locale;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.document.SectionParser;

/** Encodes and decodes the bodies of the operator port. */
public final class OperatorJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            // A client must understand a newer daemon that reports more than it knows.
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .addModule(module())
            .build();

    private OperatorJson() {}

    /**
     * Encodes a body.
     *
     * @param body one of the records of this package
     * @return JSON in UTF-8
     */
    public static byte[] write(Record body) {
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Decodes a body.
     *
     * @param type the record
     * @param json JSON in UTF-8
     * @param <T> the record
     * @return the body
     * @throws UnreadableBodyException when the JSON has another shape
     */
    public static <T extends Record> T read(Class<T> type, byte[] json) {
        try {
            return MAPPER.readValue(json, type);
        } catch (IOException e) {
            throw new UnreadableBodyException(type, e);
        }
    }

    private static SimpleModule module() {
        return new SimpleModule()
                .addSerializer(new SectionWriter())
                .addDeserializer(Section.class, new SectionReader())
                .addSerializer(new LowerCaseEnum())
                .addSerializer(new TextWriter<>(Instant.class))
                .addDeserializer(Instant.class, new InstantReader());
    }

    private static final class SectionWriter extends StdSerializer<Section> {
        private static final long serialVersionUID = 1L;

        SectionWriter() {
            super(Section.class);
        }

        @Override
        public void serialize(Section value, JsonGenerator out, SerializerProvider provider) throws IOException {
            out.writeRawValue(new String(SectionParser.toJson(value), StandardCharsets.UTF_8));
        }
    }

    private static final class SectionReader extends StdDeserializer<Section> {
        private static final long serialVersionUID = 1L;

        SectionReader() {
            super(Section.class);
        }

        @Override
        public Section deserialize(JsonParser in, DeserializationContext context) throws IOException {
            byte[] json = in.readValueAsTree().toString().getBytes(StandardCharsets.UTF_8);
            return SectionParser.parse("response", json);
        }
    }

    private static final class TextWriter<T> extends StdSerializer<T> {
        private static final long serialVersionUID = 1L;

        TextWriter(Class<T> type) {
            super(type);
        }

        @Override
        public void serialize(T value, JsonGenerator out, SerializerProvider provider) throws IOException {
            out.writeString(value.toString());
        }
    }

    @SuppressWarnings("rawtypes")
    private static final class LowerCaseEnum extends StdSerializer<Enum> {
        private static final long serialVersionUID = 1L;

        LowerCaseEnum() {
            super(Enum.class);
        }

        @Override
        public void serialize(Enum value, JsonGenerator out, SerializerProvider provider) throws IOException {
            out.writeString(value.name().toLowerCase(Locale.ROOT));
        }
    }

    private static final class InstantReader extends StdDeserializer<Instant> {
        private static final long serialVersionUID = 1L;

        InstantReader() {
            super(Instant.class);
        }

        @Override
        public Instant deserialize(JsonParser in, DeserializationContext context) throws IOException {
            return Instant.parse(in.getText());
        }
    }
}

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

/** JSON encoding of the bodies of the operator API. */
public final class OperatorJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            // A client must accept responses of a newer daemon with fields that it does not know.
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .addModule(customTypes())
            .build();

    private OperatorJson() {}

    /**
     * Encodes a body.
     *
     * @param body one of the records of this package
     * @return JSON in UTF-8
     */
    public static byte[] encode(Record body) {
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Decodes a body.
     *
     * @param type record of this package
     * @param json JSON in UTF-8
     * @param <T> type of the record
     * @return the body
     * @throws UnreadableBodyException if the JSON is malformed or does not match the record
     */
    public static <T extends Record> T decode(Class<T> type, byte[] json) {
        try {
            return MAPPER.readValue(json, type);
        } catch (IOException e) {
            throw new UnreadableBodyException(type, e);
        }
    }

    private static SimpleModule customTypes() {
        return new SimpleModule()
                .addSerializer(new SectionSerializer())
                .addDeserializer(Section.class, new SectionDeserializer())
                .addSerializer(new LowerCaseEnumSerializer())
                .addSerializer(new TextSerializer<>(Instant.class))
                .addDeserializer(Instant.class, new InstantDeserializer());
    }

    private static final class SectionSerializer extends StdSerializer<Section> {
        private static final long serialVersionUID = 1L;

        SectionSerializer() {
            super(Section.class);
        }

        @Override
        public void serialize(Section value, JsonGenerator out, SerializerProvider provider) throws IOException {
            out.writeRawValue(new String(SectionParser.toJson(value), StandardCharsets.UTF_8));
        }
    }

    private static final class SectionDeserializer extends StdDeserializer<Section> {
        private static final long serialVersionUID = 1L;

        SectionDeserializer() {
            super(Section.class);
        }

        @Override
        public Section deserialize(JsonParser in, DeserializationContext context) throws IOException {
            byte[] json = in.readValueAsTree().toString().getBytes(StandardCharsets.UTF_8);
            return SectionParser.parse("response", json);
        }
    }

    private static final class TextSerializer<T> extends StdSerializer<T> {
        private static final long serialVersionUID = 1L;

        TextSerializer(Class<T> type) {
            super(type);
        }

        @Override
        public void serialize(T value, JsonGenerator out, SerializerProvider provider) throws IOException {
            out.writeString(value.toString());
        }
    }

    @SuppressWarnings("rawtypes")
    private static final class LowerCaseEnumSerializer extends StdSerializer<Enum> {
        private static final long serialVersionUID = 1L;

        LowerCaseEnumSerializer() {
            super(Enum.class);
        }

        @Override
        public void serialize(Enum value, JsonGenerator out, SerializerProvider provider) throws IOException {
            out.writeString(value.name().toLowerCase(Locale.ROOT));
        }
    }

    private static final class InstantDeserializer extends StdDeserializer<Instant> {
        private static final long serialVersionUID = 1L;

        InstantDeserializer() {
            super(Instant.class);
        }

        @Override
        public Instant deserialize(JsonParser in, DeserializationContext context) throws IOException {
            return Instant.parse(in.getText());
        }
    }
}

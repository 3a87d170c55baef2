package org.mimosahinge.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.UncheckedIOException;
import java.util.List;

/** Formats JSON with line breaks and indentation, for editing. */
final class PrettyJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final ObjectWriter WRITER = MAPPER.writerWithDefaultPrettyPrinter();

    private PrettyJson() {}

    static List<String> lines(String json) {
        try {
            return WRITER.writeValueAsString(MAPPER.readTree(json)).lines().toList();
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}

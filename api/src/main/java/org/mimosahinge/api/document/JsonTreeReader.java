package org.mimosahinge.api.document;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.core.io.JsonEOFException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CoderResult;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mimosahinge.api.document.JsonValue.Kind;
import org.mimosahinge.api.error.ErrorCode;

/**
 * Parses JSON with comments into a tree of values with source locations.
 *
 * <p>A syntax error stops the parser, but the values read before it are returned so that their problems are reported as
 * well.
 */
final class JsonTreeReader {
    /** Maximum size of a file. */
    static final int MAX_BYTES = 1 << 20;
    /** Maximum nesting depth of objects and arrays. */
    static final int MAX_NESTING = 64;
    /** Maximum number of values in a file. Otherwise 1 MiB of one-digit numbers fills the 24 MB heap of a daemon. */
    static final int MAX_VALUES = 50_000;

    // Field names are not interned in the string pool of the JVM, because submissions choose them.
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .build();

    private final JsonParser parser;
    private final Problems problems;
    private final String encodingError;
    private boolean stopped;
    private int depth;
    private int valueCount;

    private JsonTreeReader(JsonParser parser, Problems problems, String encodingError) {
        this.parser = parser;
        this.problems = problems;
        this.encodingError = encodingError;
    }

    static Optional<JsonValue> read(byte[] json, Problems problems) {
        if (json.length > MAX_BYTES) {
            problems.add(
                    ErrorCode.TOO_LARGE,
                    new Location(1, 1),
                    "",
                    json.length + " bytes",
                    "at most " + MAX_BYTES + " bytes");
            return Optional.empty();
        }
        // Parses characters instead of bytes, so that column numbers agree with those of an editor.
        CharBuffer text = CharBuffer.allocate(json.length);
        CoderResult decoded = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(json), text, true);
        text.flip();
        String encodingError = decoded.isError() ? "bytes that are not UTF-8" : "";
        try (JsonParser parser = FACTORY.createParser(text.toString())) {
            return new JsonTreeReader(parser, problems, encodingError).readDocument();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Optional<JsonValue> readDocument() throws IOException {
        JsonToken first = nextToken("");
        if (first == null) {
            if (!stopped) {
                reportSyntaxError("", encodingError.isEmpty() ? "no value" : encodingError, currentLocation());
            }
            return Optional.empty();
        }
        JsonValue root = readValue("");
        if (nextToken("") != null) {
            reportSyntaxError("", "more than one value", toLocation(parser.currentTokenLocation()));
        } else if (!stopped && !encodingError.isEmpty()) {
            reportSyntaxError("", encodingError, currentLocation());
        }
        return Optional.of(root);
    }

    private JsonValue readValue(String path) throws IOException {
        Location location = toLocation(parser.currentTokenLocation());
        valueCount++;
        if (valueCount > MAX_VALUES) {
            problems.add(
                    ErrorCode.TOO_LARGE,
                    location,
                    path,
                    "more than " + MAX_VALUES + " values",
                    "at most " + MAX_VALUES);
            stopped = true;
            return new JsonValue.Skipped(location);
        }
        return switch (parser.currentToken()) {
            case START_OBJECT -> readNested(location, path, () -> readObject(location, path));
            case START_ARRAY -> readNested(location, path, () -> readArray(location, path));
            case VALUE_STRING -> new JsonValue.Scalar(location, Kind.TEXT, parser.getText());
            case VALUE_TRUE, VALUE_FALSE -> new JsonValue.Scalar(location, Kind.BOOLEAN, parser.getText());
            case VALUE_NULL -> new JsonValue.Scalar(location, Kind.NULL, parser.getText());
            default -> new JsonValue.Scalar(location, Kind.NUMBER, parser.getText());
        };
    }

    private JsonValue readNested(Location location, String path, ContentReader content) throws IOException {
        if (depth == MAX_NESTING) {
            problems.add(
                    ErrorCode.TOO_LARGE,
                    location,
                    path,
                    "more than " + MAX_NESTING + " levels",
                    "at most " + MAX_NESTING);
            skipChildren(path);
            return new JsonValue.Skipped(location);
        }
        depth++;
        JsonValue value = content.read();
        depth--;
        return value;
    }

    private JsonValue readObject(Location location, String path) throws IOException {
        List<JsonValue.Member> members = new ArrayList<>();
        while (nextToken(path) == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            Location nameLocation = toLocation(parser.currentTokenLocation());
            String memberPath = path.isEmpty() ? name : path + "." + name;
            if (nextToken(memberPath) == null) {
                break;
            }
            members.add(new JsonValue.Member(nameLocation, name, readValue(memberPath)));
        }
        return new JsonValue.ObjectValue(location, members, !stopped);
    }

    private JsonValue readArray(Location location, String path) throws IOException {
        List<JsonValue> items = new ArrayList<>();
        while (true) {
            String itemPath = path + "[" + items.size() + "]";
            JsonToken token = nextToken(itemPath);
            if (token == null || token == JsonToken.END_ARRAY) {
                return new JsonValue.ArrayValue(location, items, !stopped);
            }
            items.add(readValue(itemPath));
        }
    }

    private void skipChildren(String path) throws IOException {
        try {
            parser.skipChildren();
        } catch (JsonProcessingException e) {
            reportParserError(path, e);
        }
    }

    private JsonToken nextToken(String path) throws IOException {
        if (stopped) {
            return null;
        }
        try {
            JsonToken token = parser.nextToken();
            if (token == JsonToken.VALUE_STRING) {
                // Strings are otherwise parsed lazily, and a truncated one would fail outside of this method.
                parser.finishToken();
            }
            return token;
        } catch (JsonProcessingException e) {
            reportParserError(path, e);
            return null;
        }
    }

    private void reportParserError(String path, JsonProcessingException e) {
        Location location = e.getLocation() == null ? currentLocation() : toLocation(e.getLocation());
        if (e instanceof StreamConstraintsException) {
            problems.add(
                    ErrorCode.TOO_LARGE, location, path, e.getOriginalMessage(), "a value within the parser's limits");
            stopped = true;
            return;
        }
        boolean unexpectedEnd = e instanceof JsonEOFException;
        reportSyntaxError(
                path, unexpectedEnd && !encodingError.isEmpty() ? encodingError : e.getOriginalMessage(), location);
    }

    private void reportSyntaxError(String path, String found, Location location) {
        problems.add(ErrorCode.SYNTAX, location, path, found, "one well-formed JSON value in UTF-8");
        stopped = true;
    }

    private Location currentLocation() {
        return toLocation(parser.currentLocation());
    }

    private static Location toLocation(JsonLocation jsonLocation) {
        return new Location(jsonLocation.getLineNr(), jsonLocation.getColumnNr());
    }

    /** Reads the content of an object or array. */
    private interface ContentReader {
        JsonValue read() throws IOException;
    }
}

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
import org.mimosahinge.api.document.Value.Kind;
import org.mimosahinge.api.error.ErrorCode;

/**
 * Reads JSON with comments into values with locations.
 *
 * <p>A syntax error ends the reading, but what was read before it is returned, so that its problems are reported too.
 */
final class TreeReader {
    /** Largest size of a file in bytes. */
    static final int MAX_BYTES = 1 << 20;
    /** Deepest nesting of objects and arrays. */
    static final int MAX_NESTING = 64;
    /** Most values in one file; 1 MiB of one-digit numbers would otherwise fill a daemon's heap of 24 MB. */
    static final int MAX_VALUES = 50_000;

    // Names stay out of the string pool of the JVM: a submission chooses them.
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .build();

    private final JsonParser parser;
    private final Problems problems;
    private final String badEncoding;
    private boolean stopped;
    private int depth;
    private int values;

    private TreeReader(JsonParser parser, Problems problems, String badEncoding) {
        this.parser = parser;
        this.problems = problems;
        this.badEncoding = badEncoding;
    }

    static Optional<Value> read(byte[] json, Problems problems) {
        if (json.length > MAX_BYTES) {
            problems.add(
                    ErrorCode.TOO_LARGE,
                    new Location(1, 1),
                    "",
                    json.length + " bytes",
                    "at most " + MAX_BYTES + " bytes");
            return Optional.empty();
        }
        // Characters instead of bytes, so that columns count what an editor counts.
        CharBuffer text = CharBuffer.allocate(json.length);
        CoderResult decoded = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(json), text, true);
        text.flip();
        String badEncoding = decoded.isError() ? "bytes that are not UTF-8" : "";
        try (JsonParser parser = FACTORY.createParser(text.toString())) {
            return new TreeReader(parser, problems, badEncoding).document();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Optional<Value> document() throws IOException {
        JsonToken first = next("");
        if (first == null) {
            if (!stopped) {
                syntax("", badEncoding.isEmpty() ? "no value" : badEncoding, here());
            }
            return Optional.empty();
        }
        Value root = value("");
        if (next("") != null) {
            syntax("", "more than one value", location(parser.currentTokenLocation()));
        } else if (!stopped && !badEncoding.isEmpty()) {
            syntax("", badEncoding, here());
        }
        return Optional.of(root);
    }

    private Value value(String path) throws IOException {
        Location at = location(parser.currentTokenLocation());
        values++;
        if (values > MAX_VALUES) {
            problems.add(ErrorCode.TOO_LARGE, at, path, "more than " + MAX_VALUES + " values", "at most " + MAX_VALUES);
            stopped = true;
            return new Value.Skipped(at);
        }
        return switch (parser.currentToken()) {
            case START_OBJECT -> nested(at, path, () -> object(at, path));
            case START_ARRAY -> nested(at, path, () -> array(at, path));
            case VALUE_STRING -> new Value.Scalar(at, Kind.TEXT, parser.getText());
            case VALUE_TRUE, VALUE_FALSE -> new Value.Scalar(at, Kind.BOOLEAN, parser.getText());
            case VALUE_NULL -> new Value.Scalar(at, Kind.NULL, parser.getText());
            default -> new Value.Scalar(at, Kind.NUMBER, parser.getText());
        };
    }

    private Value nested(Location at, String path, Nested content) throws IOException {
        if (depth == MAX_NESTING) {
            problems.add(
                    ErrorCode.TOO_LARGE, at, path, "more than " + MAX_NESTING + " levels", "at most " + MAX_NESTING);
            skip(path);
            return new Value.Skipped(at);
        }
        depth++;
        Value value = content.read();
        depth--;
        return value;
    }

    private Value object(Location at, String path) throws IOException {
        List<Value.Member> members = new ArrayList<>();
        while (next(path) == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            Location nameAt = location(parser.currentTokenLocation());
            String memberPath = path.isEmpty() ? name : path + "." + name;
            if (next(memberPath) == null) {
                break;
            }
            members.add(new Value.Member(nameAt, name, value(memberPath)));
        }
        return new Value.ObjectValue(at, members, !stopped);
    }

    private Value array(Location at, String path) throws IOException {
        List<Value> items = new ArrayList<>();
        while (true) {
            String itemPath = path + "[" + items.size() + "]";
            JsonToken token = next(itemPath);
            if (token == null || token == JsonToken.END_ARRAY) {
                return new Value.ArrayValue(at, items, !stopped);
            }
            items.add(value(itemPath));
        }
    }

    private void skip(String path) throws IOException {
        try {
            parser.skipChildren();
        } catch (JsonProcessingException e) {
            report(path, e);
        }
    }

    private JsonToken next(String path) throws IOException {
        if (stopped) {
            return null;
        }
        try {
            JsonToken token = parser.nextToken();
            if (token == JsonToken.VALUE_STRING) {
                // Strings are read lazily otherwise, and a cut one would fail outside this method.
                parser.finishToken();
            }
            return token;
        } catch (JsonProcessingException e) {
            report(path, e);
            return null;
        }
    }

    private void report(String path, JsonProcessingException e) {
        Location at = e.getLocation() == null ? here() : location(e.getLocation());
        if (e instanceof StreamConstraintsException) {
            problems.add(ErrorCode.TOO_LARGE, at, path, e.getOriginalMessage(), "a value within the parser's limits");
            stopped = true;
            return;
        }
        boolean atEnd = e instanceof JsonEOFException;
        syntax(path, atEnd && !badEncoding.isEmpty() ? badEncoding : e.getOriginalMessage(), at);
    }

    private void syntax(String path, String found, Location at) {
        problems.add(ErrorCode.SYNTAX, at, path, found, "one well-formed JSON value in UTF-8");
        stopped = true;
    }

    private Location here() {
        return location(parser.currentLocation());
    }

    private static Location location(JsonLocation location) {
        return new Location(location.getLineNr(), location.getColumnNr());
    }

    /** Reads the content of an object or array. */
    private interface Nested {
        Value read() throws IOException;
    }
}

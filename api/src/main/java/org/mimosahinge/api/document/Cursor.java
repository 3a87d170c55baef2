package org.mimosahinge.api.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mimosahinge.api.document.JsonValue.ArrayValue;
import org.mimosahinge.api.document.JsonValue.Kind;
import org.mimosahinge.api.document.JsonValue.Member;
import org.mimosahinge.api.document.JsonValue.ObjectValue;
import org.mimosahinge.api.document.JsonValue.Scalar;
import org.mimosahinge.api.error.ErrorCode;

/**
 * A position in a JSON document: a value, its path and the collector for problems of the file.
 *
 * @param value value at this position
 * @param path path from the root, such as {@code routes[0].timeout}
 * @param problems collects problems of the file
 */
record Cursor(JsonValue value, String path, Problems problems) {

    /** Reads values of one type and reports problems. */
    @FunctionalInterface
    interface ValueReader<T> {
        /**
         * Reads a value.
         *
         * @param cursor position of the value
         * @return the result; empty if the value is unusable, in which case a problem was reported
         */
        Optional<T> read(Cursor cursor);
    }

    void report(ErrorCode code, String expected) {
        // A skipped value was already reported when it was skipped.
        if (!(value instanceof JsonValue.Skipped)) {
            problems.add(code, value.location(), path, describe(), expected);
        }
    }

    /** Reports a value that may be a secret, such as an API key, without showing it. */
    void reportHidden(ErrorCode code, String expected) {
        if (!(value instanceof JsonValue.Skipped)) {
            problems.add(code, value.location(), path, "a value that is not shown", expected);
        }
    }

    Optional<String> scalar(Kind kind) {
        return value instanceof Scalar scalar && scalar.kind() == kind ? Optional.of(scalar.text()) : Optional.empty();
    }

    Optional<List<Cursor>> items() {
        if (!(value instanceof ArrayValue array)) {
            return Optional.empty();
        }
        List<Cursor> items = new ArrayList<>();
        for (JsonValue item : array.items()) {
            items.add(new Cursor(item, path + "[" + items.size() + "]", problems));
        }
        return Optional.of(items);
    }

    boolean complete() {
        return value instanceof ArrayValue array ? array.complete() : true;
    }

    List<Cursor> members(String name) {
        if (!(value instanceof ObjectValue object)) {
            return List.of();
        }
        return object.members().stream()
                .filter(member -> member.name().equals(name))
                .map(this::member)
                .toList();
    }

    Cursor member(Member member) {
        return new Cursor(member.value(), path.isEmpty() ? member.name() : path + "." + member.name(), problems);
    }

    String describe() {
        if (value instanceof ObjectValue) {
            return "an object";
        }
        if (value instanceof ArrayValue) {
            return "an array";
        }
        return value instanceof Scalar scalar
                ? scalar.kind() == Kind.TEXT ? "\"" + scalar.text() + "\"" : scalar.text()
                : "a skipped value";
    }
}

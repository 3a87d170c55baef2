package org.mimosahinge.api.document;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.mimosahinge.api.document.JsonValue.Member;
import org.mimosahinge.api.document.JsonValue.ObjectValue;
import org.mimosahinge.api.error.ErrorCode;

/** Reads the fields of one object and reports missing, repeated and unknown ones. */
final class ObjectFields {
    private final Cursor cursor;
    private final ObjectValue object;
    private final Set<String> declaredFields = new LinkedHashSet<>();

    private ObjectFields(Cursor cursor, ObjectValue object) {
        this.cursor = cursor;
        this.object = object;
    }

    /** Makes a record from the fields of an object. */
    @FunctionalInterface
    interface RecordReader<T> {
        /**
         * Reads the fields.
         *
         * @param fields the fields
         * @return the record; empty when a needed field has no usable content
         */
        Optional<T> read(ObjectFields fields);
    }

    static <T> Cursor.ValueReader<T> object(RecordReader<T> reader) {
        return cursor -> {
            if (!(cursor.value() instanceof ObjectValue object)) {
                cursor.report(ErrorCode.INVALID_VALUE, "an object");
                return Optional.empty();
            }
            ObjectFields fields = new ObjectFields(cursor, object);
            Optional<T> result = reader.read(fields);
            fields.reportUnknownAndDuplicateFields();
            return result;
        };
    }

    <T> Optional<T> required(String name, Cursor.ValueReader<T> reader) {
        Optional<Optional<T>> read = read(name, reader);
        // The missing part of a cut object may well hold the field.
        if (read.isEmpty() && object.complete()) {
            cursor.problems()
                    .add(ErrorCode.MISSING_FIELD, object.location(), cursor.path(), "no field \"" + name + "\"", name);
        }
        return read.orElse(Optional.empty());
    }

    <T> Optional<T> optional(String name, T defaultValue, Cursor.ValueReader<T> reader) {
        return read(name, reader).orElse(Optional.of(defaultValue));
    }

    /** Returns the first value of a field. */
    Optional<Cursor> first(String name) {
        return cursor.members(name).stream().findFirst();
    }

    private <T> Optional<Optional<T>> read(String name, Cursor.ValueReader<T> reader) {
        declaredFields.add(name);
        // A repeated field is reported below; its further values are read for their own problems.
        List<Optional<T>> all = cursor.members(name).stream().map(reader::read).toList();
        return all.stream().findFirst();
    }

    private void reportUnknownAndDuplicateFields() {
        Set<String> seen = new HashSet<>();
        for (Member member : object.members()) {
            String path = cursor.member(member).path();
            if (!declaredFields.contains(member.name())) {
                cursor.problems()
                        .add(
                                ErrorCode.UNKNOWN_FIELD,
                                member.location(),
                                path,
                                "\"" + member.name() + "\"",
                                "one of " + String.join(", ", declaredFields));
            } else if (!seen.add(member.name())) {
                cursor.problems()
                        .add(
                                ErrorCode.DUPLICATE_FIELD,
                                member.location(),
                                path,
                                "a second \"" + member.name() + "\"",
                                "each field once");
            }
        }
    }
}

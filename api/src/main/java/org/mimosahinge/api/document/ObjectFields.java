package org.mimosahinge.api.document;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.mimosahinge.api.document.JsonValue.Member;
import org.mimosahinge.api.document.JsonValue.ObjectValue;
import org.mimosahinge.api.error.ErrorCode;

/** Reads the fields of a JSON object and reports missing, duplicate and unknown ones. */
final class ObjectFields {
    private final Cursor cursor;
    private final ObjectValue object;
    private final Set<String> declaredFields = new LinkedHashSet<>();

    private ObjectFields(Cursor cursor, ObjectValue object) {
        this.cursor = cursor;
        this.object = object;
    }

    /** Creates a record from the fields of a JSON object. */
    @FunctionalInterface
    interface RecordReader<T> {
        /**
         * Reads the fields.
         *
         * @param fields fields of the object
         * @return the record; empty if a field that it needs is missing or unusable
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
        // A truncated object may have contained the field in its missing part.
        if (read.isEmpty() && object.complete()) {
            cursor.problems()
                    .add(ErrorCode.MISSING_FIELD, object.location(), cursor.path(), "no field \"" + name + "\"", name);
        }
        return read.orElse(Optional.empty());
    }

    <T> Optional<T> optional(String name, T defaultValue, Cursor.ValueReader<T> reader) {
        return read(name, reader).orElse(Optional.of(defaultValue));
    }

    /** Returns the first occurrence of a field. */
    Optional<Cursor> first(String name) {
        return cursor.members(name).stream().findFirst();
    }

    private <T> Optional<Optional<T>> read(String name, Cursor.ValueReader<T> reader) {
        declaredFields.add(name);
        // Duplicates are reported later; all values are read so that the problems in each are reported as well.
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

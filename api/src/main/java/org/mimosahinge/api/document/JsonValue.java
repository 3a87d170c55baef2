package org.mimosahinge.api.document;

import java.util.List;

/** A JSON value with its location in the file. */
sealed interface JsonValue {

    /**
     * Returns the location where the value starts.
     *
     * @return the location
     */
    Location location();

    /**
     * An object with all its members, including those with duplicate names.
     *
     * @param location start of the object
     * @param members the members in file order
     * @param complete false if a syntax error truncated the object
     */
    record ObjectValue(Location location, List<Member> members, boolean complete) implements JsonValue {}

    /**
     * A member of an object.
     *
     * @param location start of the name
     * @param name the name
     * @param value the value
     */
    record Member(Location location, String name, JsonValue value) {}

    /**
     * An array.
     *
     * @param location start of the array
     * @param items the items in file order
     * @param complete false if a syntax error truncated the array
     */
    record ArrayValue(Location location, List<JsonValue> items, boolean complete) implements JsonValue {}

    /**
     * A string, number, boolean or null.
     *
     * @param location start of the value
     * @param kind type of the value
     * @param text source text of the value; for a string, its content with escapes decoded
     */
    record Scalar(Location location, Kind kind, String text) implements JsonValue {}

    /**
     * A value that was not read because the file exceeds a limit, which was already reported.
     *
     * @param location start of the value
     */
    record Skipped(Location location) implements JsonValue {}

    /** Type of a scalar value. */
    enum Kind {
        /** A string. */
        TEXT,
        /** A number. */
        NUMBER,
        /** True or false. */
        BOOLEAN,
        /** The null value. */
        NULL
    }
}

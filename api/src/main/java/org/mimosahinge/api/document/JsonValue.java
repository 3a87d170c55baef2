package org.mimosahinge.api.document;

import java.util.List;

/** A JSON value with its place in the file. */
sealed interface JsonValue {

    /**
     * Returns where the value starts.
     *
     * @return the location
     */
    Location location();

    /**
     * An object with all its members, repeated names included.
     *
     * @param location where the object starts
     * @param members the members in file order
     * @param complete false when a syntax error cut the object
     */
    record ObjectValue(Location location, List<Member> members, boolean complete) implements JsonValue {}

    /**
     * A member of an object.
     *
     * @param location where the name starts
     * @param name the name
     * @param value the value
     */
    record Member(Location location, String name, JsonValue value) {}

    /**
     * An array.
     *
     * @param location where the array starts
     * @param items the items in file order
     * @param complete false when a syntax error cut the array
     */
    record ArrayValue(Location location, List<JsonValue> items, boolean complete) implements JsonValue {}

    /**
     * A value without parts.
     *
     * @param location where the value starts
     * @param kind the type
     * @param text the content, as it stands in the file except for escapes
     */
    record Scalar(Location location, Kind kind, String text) implements JsonValue {}

    /**
     * A value that was not read because it exceeds the nesting limit; already reported.
     *
     * @param location where the value starts
     */
    record Skipped(Location location) implements JsonValue {}

    /** Type of a value without parts. */
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

package org.mimosahinge.api.document;

import java.util.List;

/** A JSON value with its place in the file. */
sealed interface Value {

    /**
     * Returns where the value starts.
     *
     * @return the location
     */
    Location at();

    /**
     * An object with all its members, repeated names included.
     *
     * @param at where the object starts
     * @param members the members in file order
     * @param complete false when a syntax error cut the object
     */
    record ObjectValue(Location at, List<Member> members, boolean complete) implements Value {}

    /**
     * A member of an object.
     *
     * @param at where the name starts
     * @param name the name
     * @param value the value
     */
    record Member(Location at, String name, Value value) {}

    /**
     * An array.
     *
     * @param at where the array starts
     * @param items the items in file order
     * @param complete false when a syntax error cut the array
     */
    record ArrayValue(Location at, List<Value> items, boolean complete) implements Value {}

    /**
     * A value without parts.
     *
     * @param at where the value starts
     * @param kind the type
     * @param text the content, as it stands in the file except for escapes
     */
    record Scalar(Location at, Kind kind, String text) implements Value {}

    /**
     * A value that was not read because it exceeds the nesting limit; already reported.
     *
     * @param at where the value starts
     */
    record Skipped(Location at) implements Value {}

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

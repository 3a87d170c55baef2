package org.mimosahinge.api.config;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The head row, which references one version of the whole configuration.
 *
 * @param version configuration version, incremented with each accepted change
 * @param sections sections by team
 * @param moves moves by service
 */
public record Head(long version, SortedMap<String, SectionRef> sections, SortedMap<String, MoveState> moves) {
    /** Head before the first accepted change. */
    public static final Head EMPTY = new Head(0, new TreeMap<>(), new TreeMap<>());

    /** Makes immutable copies of the maps. */
    public Head {
        sections = Collections.unmodifiableSortedMap(new TreeMap<>(sections));
        moves = Collections.unmodifiableSortedMap(new TreeMap<>(moves));
    }
}

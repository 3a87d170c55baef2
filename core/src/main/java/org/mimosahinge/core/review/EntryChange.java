package org.mimosahinge.core.review;

/**
 * A difference between two configurations.
 *
 * @param entry kind and name of the entry
 * @param change what happens to it
 */
public record EntryChange(String entry, Change change) {

    /** What happens to an entry. */
    public enum Change {
        /** Only the new configuration has the entry. */
        ADDED,
        /** Only the configuration in force has the entry. */
        REMOVED,
        /** Both have the entry, with other content. */
        CHANGED
    }
}

package org.mimosahinge.core.review;

/**
 * An entry that is valid and probably not what its author wants.
 *
 * @param concern what is wrong with it
 * @param entry kind and name of the entry
 * @param text the reason
 */
public record ReviewFinding(Concern concern, String entry, String text) {

    /** What is wrong with an entry. */
    public enum Concern {
        /** No request can ever match the entry. */
        NEVER_MATCHES,
        /** The entry, or a part of it, has no effect. */
        NO_EFFECT,
        /** Limits contradict each other, so that not all of them can be met. */
        CONTRADICTION
    }
}

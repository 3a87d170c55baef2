package org.mimosahinge.api.config;

import org.mimosahinge.api.platform.ObjectHash;

/**
 * A section's entry in the head row.
 *
 * @param team the owning team
 * @param revision grows by one with each accepted change
 * @param hash hash of the section's object
 */
public record SectionRef(String team, long revision, ObjectHash hash) {}

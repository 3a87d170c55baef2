package org.mimosahinge.api.config;

import org.mimosahinge.api.platform.ObjectHash;

/**
 * A reference to a section in the head row.
 *
 * @param team the owning team
 * @param revision section revision, incremented with each accepted change
 * @param hash hash of the object that contains the section
 */
public record SectionRef(String team, long revision, ObjectHash hash) {}

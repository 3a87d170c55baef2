package org.mimosahinge.api.config;

import org.mimosahinge.api.contract.Section;

/**
 * A section together with its revision.
 *
 * @param revision revision of the section
 * @param section content of the section
 */
public record RevisedSection(long revision, Section section) {}

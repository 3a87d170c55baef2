package org.mimosahinge.api.config;

import org.mimosahinge.api.contract.Section;

/**
 * A section at one revision.
 *
 * @param revision the revision
 * @param section the content
 */
public record RevisedSection(long revision, Section section) {}

package org.mimosahinge.core.config;

import java.util.Map;
import org.mimosahinge.api.config.Head;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.core.lease.Revisioned;

/**
 * The state that a submission is decided on, from one consistent read of the platform.
 *
 * @param head the head row
 * @param sectionRow the section's row
 * @param sections contents of all sections referenced by the head, by team
 */
public record SubmissionView(Revisioned<Head> head, Revisioned<SectionRow> sectionRow, Map<String, Section> sections) {
    /** Copies the sections. */
    public SubmissionView {
        sections = Map.copyOf(sections);
    }
}

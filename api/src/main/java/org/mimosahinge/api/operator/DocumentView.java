package org.mimosahinge.api.operator;

import java.util.List;
import org.mimosahinge.api.contract.Section;

/**
 * Response to {@code GET /v1/document}: all sections of one configuration version.
 *
 * @param version configuration version
 * @param sections sections sorted by team
 */
public record DocumentView(long version, List<SectionView> sections) {
    /** Makes an immutable copy of the sections. */
    public DocumentView {
        sections = List.copyOf(sections);
    }

    /**
     * A section with its revision.
     *
     * @param team the owning team
     * @param revision current revision, on which the next submission of the team must be based
     * @param content content of the section
     */
    public record SectionView(String team, long revision, Section content) {}
}

package org.mimosahinge.api.operator;

import java.util.List;
import org.mimosahinge.api.contract.Section;

/**
 * Answer to {@code GET /v1/document}: all sections of one version.
 *
 * @param version configuration version
 * @param sections the sections, by team
 */
public record DocumentView(long version, List<SectionView> sections) {
    /** Copies the sections. */
    public DocumentView {
        sections = List.copyOf(sections);
    }

    /**
     * One section.
     *
     * @param team the owning team
     * @param revision base for the team's next submission
     * @param content the section
     */
    public record SectionView(String team, long revision, Section content) {}
}

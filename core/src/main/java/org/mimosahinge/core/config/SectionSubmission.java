package org.mimosahinge.core.config;

import java.time.Instant;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.platform.ObjectHash;

/**
 * A new version of a section, submitted by an operator.
 *
 * @param operationId identifier unique to the submission; the same in every attempt to write it
 * @param baseRevision section revision that the operator's edit is based on
 * @param section the new content
 * @param hash hash of the stored object
 * @param submittedAt time of the submission
 */
public record SectionSubmission(
        String operationId, long baseRevision, Section section, ObjectHash hash, Instant submittedAt) {}

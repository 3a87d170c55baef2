package org.mimosahinge.core.config;

import java.time.Instant;
import org.mimosahinge.api.contract.Section;
import org.mimosahinge.api.platform.ObjectHash;

/**
 * A section that an operator wants accepted.
 *
 * @param operationId unique per submission; the same in every attempt to write it
 * @param baseRevision section revision that the operator edited
 * @param section the new content
 * @param hash hash of the stored object
 * @param submittedAt time of the submission
 */
public record SectionSubmission(
        String operationId, long baseRevision, Section section, ObjectHash hash, Instant submittedAt) {}

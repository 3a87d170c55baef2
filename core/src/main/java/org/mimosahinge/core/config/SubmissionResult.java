package org.mimosahinge.core.config;

import java.util.List;
import org.mimosahinge.api.config.Head;
import org.mimosahinge.core.lease.Revisioned;

/** The decision on a submission. */
public sealed interface SubmissionResult {

    /**
     * Both rows are to be written in one transaction, each on condition of the row revision that was read.
     *
     * @param head the new head and the revision that its row must have
     * @param sectionRow the new section row and the revision that its row must have
     */
    record Write(Revisioned<Head> head, Revisioned<SectionRow> sectionRow) implements SubmissionResult {}

    /**
     * An earlier attempt took effect; nothing is to be written.
     *
     * @param currentRevision the section's current revision, not below the accepted one
     */
    record AlreadyAccepted(long currentRevision) implements SubmissionResult {}

    /**
     * The section has changed since the submission's base revision.
     *
     * @param currentRevision the revision to base the next submission on
     */
    record Conflict(long currentRevision) implements SubmissionResult {}

    /**
     * The configuration with the new section would have unresolved references.
     *
     * @param messages one message per reference
     */
    record Unresolved(List<String> messages) implements SubmissionResult {
        /** Copies the messages. */
        public Unresolved {
            messages = List.copyOf(messages);
        }
    }
}

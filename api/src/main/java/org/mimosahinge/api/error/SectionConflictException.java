package org.mimosahinge.api.error;

/** A section was changed since the revision that a submission is based on. */
public final class SectionConflictException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    private final long currentRevision;

    /**
     * Creates the failure.
     *
     * @param team the section's team
     * @param baseRevision the revision that the submission is based on
     * @param currentRevision the revision in the table service
     */
    public SectionConflictException(String team, long baseRevision, long currentRevision) {
        super(
                ErrorCode.SECTION_CONFLICT,
                "Section \"" + team + "\" is at revision " + currentRevision + ", the submission is based on "
                        + baseRevision);
        this.currentRevision = currentRevision;
    }

    /**
     * Returns the revision to base the next submission on.
     *
     * @return the current revision
     */
    public long currentRevision() {
        return currentRevision;
    }
}

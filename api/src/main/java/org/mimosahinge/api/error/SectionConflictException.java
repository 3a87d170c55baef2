package org.mimosahinge.api.error;

/** Thrown if a section has changed since the revision that a submission is based on. */
public final class SectionConflictException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    private final long currentRevision;

    /**
     * Creates the exception.
     *
     * @param team team that owns the section
     * @param baseRevision revision that the submission is based on
     * @param currentRevision revision stored in the table service
     */
    public SectionConflictException(String team, long baseRevision, long currentRevision) {
        super(
                ErrorCode.SECTION_CONFLICT,
                "Section \"" + team + "\" is at revision " + currentRevision + ", the submission is based on "
                        + baseRevision);
        this.currentRevision = currentRevision;
    }

    /**
     * Returns the revision that the next submission must be based on.
     *
     * @return the current revision
     */
    public long currentRevision() {
        return currentRevision;
    }
}

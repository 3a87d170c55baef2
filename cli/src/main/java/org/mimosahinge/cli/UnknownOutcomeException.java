package org.mimosahinge.cli;

import org.mimosahinge.api.error.MimosahingeException;

/** The outcome of a submission is unknown because its response was lost or late; it may have been accepted. */
final class UnknownOutcomeException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    UnknownOutcomeException(long base, MimosahingeException cause) {
        super(
                cause.code(),
                cause.getMessage() + "; the submission may have been accepted. Submitting it again with --base " + base
                        + " is safe: it takes effect once, and a conflict means that the section has a newer revision",
                cause);
    }
}

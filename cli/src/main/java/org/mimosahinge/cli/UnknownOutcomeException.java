package org.mimosahinge.cli;

import org.mimosahinge.api.error.MimosahingeException;

/** A submission got no response and may have been accepted. */
final class UnknownOutcomeException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    UnknownOutcomeException(long base, MimosahingeException cause) {
        super(
                cause.code(),
                cause.getMessage() + "; the submission may have been accepted. Submitting it again with --base " + base
                        + " is safe: it takes effect once, and a conflict tells that the section has a newer revision",
                cause);
    }
}

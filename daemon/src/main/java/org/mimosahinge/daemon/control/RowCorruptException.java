package org.mimosahinge.daemon.control;

import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.MimosahingeException;

/** Thrown when a row of the table service does not hold valid JSON. */
final class RowCorruptException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    RowCorruptException(String key, Throwable cause) {
        super(ErrorCode.OBJECT_CORRUPT, "Row \"" + key + "\" does not hold valid JSON", cause);
    }
}

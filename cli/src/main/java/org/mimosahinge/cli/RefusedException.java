package org.mimosahinge.cli;

import java.util.Arrays;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.api.error.MimosahingeException;
import org.mimosahinge.api.operator.ErrorBody;

/** The daemon rejected a request, or its response lacks the requested section. */
final class RefusedException extends MimosahingeException {

    private static final long serialVersionUID = 1L;

    private final transient ErrorBody body;

    RefusedException(ErrorBody body) {
        super(codeOf(body), body.message());
        this.body = body;
    }

    ErrorBody body() {
        return body;
    }

    // A newer daemon may send a code that this client does not know.
    private static ErrorCode codeOf(ErrorBody body) {
        return Arrays.stream(ErrorCode.values())
                .filter(code -> code.code().equals(body.code()))
                .findFirst()
                .orElse(ErrorCode.INTERNAL);
    }
}

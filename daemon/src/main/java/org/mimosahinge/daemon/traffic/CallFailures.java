package org.mimosahinge.daemon.traffic;

import org.mimosahinge.api.error.CallException;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.core.move.FailureKind;
import org.mimosahinge.net.frame.Frame;

/** Maps failures of calls to frames and back. */
final class CallFailures {

    /** Tells a node that no new calls are wanted on the connection; calls are numbered from 1. */
    static final long CONNECTION_CALL_ID = 0;

    /** Code in frames for one call of each crash of a backend server. */
    static final String CRASHED = "backend_crashed";

    /** Code in frames for further calls that were in flight at the same crash. */
    static final String CRASH_COLLATERAL = "backend_crash_collateral";

    private CallFailures() {}

    /** Classifies a failure as evidence about the backend server version. */
    static FailureKind kind(Frame.CallFailure failure) {
        if (failure.code().equals(CRASHED)) {
            return FailureKind.CRASH;
        }
        if (failure.code().equals(CRASH_COLLATERAL)) {
            return FailureKind.CRASH_COLLATERAL;
        }
        return switch (code(failure)) {
            case OVERLOADED -> FailureKind.SHED;
                // A call that was not run in time tells nothing about the backend server.
            case DEADLINE_EXCEEDED -> failure.notRun() ? FailureKind.SHED : FailureKind.TIMEOUT;
            default -> FailureKind.CONNECTION_LOSS;
        };
    }

    static boolean isCrash(Frame.CallFailure failure) {
        return failure.code().equals(CRASHED) || failure.code().equals(CRASH_COLLATERAL);
    }

    static Frame.CallFailure notRun(long callId, ErrorCode code, String message) {
        return new Frame.CallFailure(callId, code.code(), true, message);
    }

    static Frame.CallFailure mayHaveRun(long callId, ErrorCode code, String message) {
        return new Frame.CallFailure(callId, code.code(), false, message);
    }

    static ErrorCode code(Frame.CallFailure failure) {
        for (ErrorCode code : ErrorCode.values()) {
            if (code.code().equals(failure.code())) {
                return code;
            }
        }
        if (isCrash(failure)) {
            return ErrorCode.CONNECTION_LOST;
        }
        // A later release may know codes that this one does not.
        return ErrorCode.INTERNAL;
    }

    static CallException exception(Frame.CallFailure failure, boolean mayHaveRun) {
        return mayHaveRun
                ? CallException.mayHaveRun(code(failure), failure.message())
                : CallException.notRun(code(failure), failure.message());
    }
}

package org.mimosahinge.daemon.traffic;

import org.mimosahinge.api.error.CallException;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.core.move.FailureKind;
import org.mimosahinge.net.frame.Frame;

/** Converts between call failures and failure frames. */
final class CallFailures {

    /** Call id of a failure that refuses all new calls on a connection; ids of calls start at 1. */
    static final long CONNECTION_CALL_ID = 0;

    /** Failure code for the first of the calls that were in flight when a backend server crashed. */
    static final String CRASHED = "backend_crashed";

    /** Failure code for the other calls that were in flight at the same crash. */
    static final String CRASH_COLLATERAL = "backend_crash_collateral";

    private CallFailures() {}

    /** Classifies a failure for the call outcomes of the backend server's version. */
    static FailureKind kind(Frame.CallFailure failure) {
        if (failure.code().equals(CRASHED)) {
            return FailureKind.CRASH;
        }
        if (failure.code().equals(CRASH_COLLATERAL)) {
            return FailureKind.CRASH_COLLATERAL;
        }
        return switch (code(failure)) {
            case OVERLOADED -> FailureKind.SHED;
                // A call that was refused at its deadline does not count as a timeout of the backend server.
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
        // Nodes of a later release may send codes that this release does not know.
        return ErrorCode.INTERNAL;
    }

    static CallException exception(Frame.CallFailure failure, boolean mayHaveRun) {
        return mayHaveRun
                ? CallException.mayHaveRun(code(failure), failure.message())
                : CallException.notRun(code(failure), failure.message());
    }
}

package org.mimosahinge.daemon.traffic;

import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.net.frame.Frame;

/** Destination of calls: another node or a backend server on this node. */
@FunctionalInterface
interface CallTarget {

    /**
     * Starts a call.
     *
     * @param start the call; its id is unique on the event loop
     * @param observer receives the response; may be called before this method returns
     * @return the started call
     */
    CallStream start(Frame.CallStart start, ResponseObserver observer);

    /**
     * Starts a call unless its deadline has passed before it got here.
     *
     * @param start the call with its remaining time
     * @param observer receives the response; may be called before this method returns
     * @return the started call
     */
    default CallStream startBeforeDeadline(Frame.CallStart start, ResponseObserver observer) {
        if (start.deadlineMs() > 0) {
            return start(start, observer);
        }
        observer.failed(CallFailures.notRun(
                start.callId(), ErrorCode.DEADLINE_EXCEEDED, "The deadline passed before the call reached its target"));
        observer.flush();
        return NoOpCallStream.INSTANCE;
    }
}

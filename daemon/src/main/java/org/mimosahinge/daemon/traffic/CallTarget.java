package org.mimosahinge.daemon.traffic;

import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.net.frame.Frame;

/** Where calls are sent: a node or a backend server beside this node. */
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
     * Starts a call unless its deadline has passed on the way here.
     *
     * @param start the call with the time that is left for it here
     * @param observer receives the response; may be called before this method returns
     * @return the started call
     */
    default CallStream startBeforeDeadline(Frame.CallStart start, ResponseObserver observer) {
        if (start.deadlineMs() > 0) {
            return start(start, observer);
        }
        observer.failed(
                CallFailures.notRun(start.callId(), ErrorCode.DEADLINE_EXCEEDED, "The deadline passed on the way"));
        observer.flush();
        return NoOpCallStream.INSTANCE;
    }
}

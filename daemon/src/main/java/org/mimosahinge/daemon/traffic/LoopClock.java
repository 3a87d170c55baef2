package org.mimosahinge.daemon.traffic;

import org.mimosahinge.core.deadline.SuspensionClock;

/** A clock of one event loop that also advances while the VM is suspended. */
final class LoopClock {

    private SuspensionClock last = new SuspensionClock(TrafficLoop.nowMs(), System.currentTimeMillis(), 0);

    long nowMs() {
        last = last.advancedTo(TrafficLoop.nowMs(), System.currentTimeMillis());
        return last.nowMs();
    }
}

package org.mimosahinge.bench.overload;

/**
 * Counts of callers by how they were served.
 *
 * @param callers number of callers
 * @param servedInTime callers that got a response within their target latency
 * @param served callers that got a response before their deadline
 */
record ServedCounts(int callers, int servedInTime, int served) {

    static final ServedCounts NONE = new ServedCounts(0, 0, 0);

    ServedCounts plus(boolean callerServedInTime, boolean callerServed) {
        return new ServedCounts(
                callers + 1, servedInTime + (callerServedInTime ? 1 : 0), served + (callerServed ? 1 : 0));
    }

    double inTimeFraction() {
        return callers == 0 ? 0 : servedInTime / (double) callers;
    }
}

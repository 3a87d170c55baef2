package org.mimosahinge.bench.overload;

/**
 * How the callers that first called within a span of time were served.
 *
 * @param callers number of callers
 * @param servedInTime answered within their target latency
 * @param served answered at all
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

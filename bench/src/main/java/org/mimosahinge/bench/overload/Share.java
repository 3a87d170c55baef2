package org.mimosahinge.bench.overload;

/**
 * How the callers that first called within a span of time were served.
 *
 * @param offered number of callers
 * @param inTime answered within their target latency
 * @param answered answered at all
 */
record Share(int offered, int inTime, int answered) {

    static final Share NONE = new Share(0, 0, 0);

    Share plus(boolean timely, boolean served) {
        return new Share(offered + 1, inTime + (timely ? 1 : 0), answered + (served ? 1 : 0));
    }

    double timely() {
        return offered == 0 ? 0 : inTime / (double) offered;
    }
}

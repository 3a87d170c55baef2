package org.mimosahinge.net.frame;

import org.mimosahinge.api.error.FrameException;

/** Type numbers of frames on the wire. A number is never reused for another type. */
enum FrameType {
    HELLO(1, Frame.Hello.class),
    HEARTBEAT(2, Frame.Heartbeat.class),
    CONFIG(3, Frame.Config.class),
    CONFIG_REQUEST(4, Frame.ConfigRequest.class),
    HEAD_HINT(5, Frame.HeadHint.class),
    ENDPOINTS(6, Frame.Endpoints.class),
    HALT_MARKS(7, Frame.HaltMarks.class),
    VERSION_REPORT(8, Frame.VersionReport.class),
    DRAIN(9, Frame.Drain.class),
    CALL_OUTCOMES(10, Frame.CallOutcomes.class),
    REQUEST_CRASHES(11, Frame.RequestCrashes.class),
    OPERATOR_ROW(12, Frame.OperatorRow.class),
    ROW_SUBSCRIPTION(13, Frame.RowSubscription.class),
    ROW_DELTA(14, Frame.RowDelta.class),
    ROW_FRESHNESS(15, Frame.RowFreshness.class),
    CALL_START(16, Frame.CallStart.class),
    BODY(17, Frame.Body.class),
    CREDIT(18, Frame.Credit.class),
    CANCEL(19, Frame.Cancel.class),
    RESPONSE_START(20, Frame.ResponseStart.class),
    CALL_FAILURE(21, Frame.CallFailure.class),
    QUOTA_USE(22, Frame.QuotaUse.class),
    QUOTA_ALLOWANCES(23, Frame.QuotaAllowances.class);

    private static final FrameType[] BY_NUMBER = new FrameType[32];

    static {
        for (FrameType type : values()) {
            BY_NUMBER[type.number] = type;
        }
    }

    private final int number;
    private final Class<? extends Frame> frameClass;

    FrameType(int number, Class<? extends Frame> frameClass) {
        this.number = number;
        this.frameClass = frameClass;
    }

    int number() {
        return number;
    }

    static FrameType of(Frame frame) {
        for (FrameType type : values()) {
            if (type.frameClass == frame.getClass()) {
                return type;
            }
        }
        throw new FrameException("No number for frame type " + frame.getClass().getSimpleName());
    }

    static FrameType of(int number) {
        FrameType type = number >= 0 && number < BY_NUMBER.length ? BY_NUMBER[number] : null;
        if (type == null) {
            throw new FrameException("Unknown frame type " + number);
        }
        return type;
    }
}

package org.mimosahinge.bench.calls;

import java.util.function.IntUnaryOperator;

/** Kinds of calls in the generated load, with their percentage of all calls. */
enum CallKind {
    /** A page view: idempotent, interactive. */
    BROWSE("GET", "/browse?item=", 70),
    /** An internal check, such as of the stock. */
    INTERNAL_CHECK("GET", "/check?item=", 18),
    /** A payment, which must run at most once. */
    PAY("POST", "/pay?order=", 10),
    /** A download of 1 MiB. */
    DOWNLOAD("GET", "/files/download?mb=1&file=", 2);

    static final int DOWNLOAD_BYTES = 1 << 20;

    private final String method;
    private final String uriPrefix;
    private final int percent;

    CallKind(String method, String uriPrefix, int percent) {
        this.method = method;
        this.uriPrefix = uriPrefix;
        this.percent = percent;
    }

    String method() {
        return method;
    }

    String uri(String key) {
        return uriPrefix + key;
    }

    boolean isIdempotent() {
        return this != PAY;
    }

    static CallKind draw(IntUnaryOperator random) {
        int remaining = random.applyAsInt(100);
        for (CallKind kind : values()) {
            remaining -= kind.percent;
            if (remaining < 0) {
                return kind;
            }
        }
        return BROWSE;
    }
}

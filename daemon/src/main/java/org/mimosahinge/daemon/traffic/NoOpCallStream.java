package org.mimosahinge.daemon.traffic;

/** A call that ended before it was sent anywhere. */
enum NoOpCallStream implements CallStream {
    /** The only one, without state. */
    INSTANCE;

    @Override
    public void body(byte[] bytes, boolean last) {}

    @Override
    public void credit(int bytes) {}

    @Override
    public void cancel() {}

    @Override
    public void flush() {}
}

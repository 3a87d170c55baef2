package org.mimosahinge.daemon.traffic;

/** Stream of a call that ended before it was sent; all methods do nothing. */
enum NoOpCallStream implements CallStream {
    /** The only instance. */
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

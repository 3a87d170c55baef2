package org.mimosahinge.daemon.control;

import io.netty.channel.Channel;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.net.frame.Frame;

/** A control connection to another node; the control thread owns its bookkeeping. */
final class ControlLink implements AutoCloseable {

    /** Place of the other node in the fan-out tree. */
    enum Direction {
        PARENT,
        CHILD
    }

    private final Channel channel;
    private final Frame.Hello hello;
    private final Direction direction;
    private long versionSent;
    private Frame.VersionReport report;

    ControlLink(Channel channel, Frame.Hello hello, Direction direction) {
        this.channel = channel;
        this.hello = hello;
        this.direction = direction;
        this.versionSent = hello.version();
    }

    Node node() {
        return hello.node();
    }

    Frame.Hello hello() {
        return hello;
    }

    Direction direction() {
        return direction;
    }

    /** Returns the version that the other node holds or has been sent. */
    long versionSent() {
        return versionSent;
    }

    void markSent(long version) {
        versionSent = version;
    }

    /** Returns the last report of the other node's subtree, null before the first. */
    Frame.VersionReport report() {
        return report;
    }

    void recordReport(Frame.VersionReport newReport) {
        report = newReport;
    }

    boolean isOpen() {
        return channel.isActive();
    }

    void send(Frame frame) {
        if (!channel.isWritable()) {
            // A receiver that does not keep up is cut off; it reconnects and gets full state.
            channel.close();
            return;
        }
        channel.writeAndFlush(frame, channel.voidPromise());
    }

    @Override
    public void close() {
        channel.close();
    }
}

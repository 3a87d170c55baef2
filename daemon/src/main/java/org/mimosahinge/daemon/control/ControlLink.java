package org.mimosahinge.daemon.control;

import io.netty.channel.Channel;
import org.mimosahinge.api.world.Node;
import org.mimosahinge.net.frame.Frame;

/** A control connection to another node; its state belongs to the control thread. */
final class ControlLink implements AutoCloseable {

    /** Position of the other node in the fan-out tree, relative to this node. */
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

    /** Returns the configuration version that the other node has or was sent. */
    long versionSent() {
        return versionSent;
    }

    void markSent(long version) {
        versionSent = version;
    }

    /** Returns the last version report of the other node's subtree, null before the first. */
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
            // A slow receiver is disconnected; it reconnects and gets the full state.
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

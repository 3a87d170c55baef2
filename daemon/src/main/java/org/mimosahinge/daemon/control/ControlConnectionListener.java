package org.mimosahinge.daemon.control;

import io.netty.channel.Channel;
import org.mimosahinge.net.frame.Frame;

/** Hands what happens on control connections over to the control thread. */
final class ControlConnectionListener implements PeerChannels.Listener {

    private final ControlPlane plane;
    private final ControlLoop loop;

    ControlConnectionListener(ControlPlane plane, ControlLoop loop) {
        this.plane = plane;
        this.loop = loop;
    }

    @Override
    public Frame.Hello hello() {
        return plane.hello();
    }

    @Override
    public void opened(Channel channel, Frame.Hello hello, boolean outbound) {
        offerOrClose(channel, () -> plane.linkOpened(channel, hello, outbound));
    }

    @Override
    public void received(Channel channel, Frame frame) {
        offerOrClose(channel, () -> plane.frameReceived(channel, frame));
    }

    @Override
    public void closed(Channel channel) {
        // A close that is dropped here shows as silence of the link, which the tick detects.
        loop.offer(() -> plane.linkClosed(channel));
    }

    /** A dropped frame would leave the two ends with different views, so the connection is closed instead. */
    private void offerOrClose(Channel channel, Runnable task) {
        if (!loop.offer(task)) {
            channel.close();
        }
    }
}

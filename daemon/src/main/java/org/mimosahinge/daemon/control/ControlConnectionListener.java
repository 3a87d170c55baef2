package org.mimosahinge.daemon.control;

import io.netty.channel.Channel;
import org.mimosahinge.net.frame.Frame;

/** Forwards events of control connections to the control thread. */
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
        // If the ring is full and this event is dropped, the failure detector notices the silent link on a later tick.
        loop.offer(() -> plane.linkClosed(channel));
    }

    /**
     * Closes the connection if the event was dropped, since a lost frame would leave both ends with different states.
     */
    private void offerOrClose(Channel channel, Runnable task) {
        if (!loop.offer(task)) {
            channel.close();
        }
    }
}

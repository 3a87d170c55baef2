package org.mimosahinge.daemon.traffic;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.net.frame.Frame;

/** Sends heartbeats on a connection for calls and closes it when no byte arrives; a dead path shows no other sign. */
final class HeartbeatHandler extends ChannelDuplexHandler {

    private static final long MAX_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    /** Heartbeats are overdue; new calls take another connection while this one may still come back. */
    private static final long OVERDUE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_100);

    private final HeartbeatTimer timer;
    private Channel channel;
    private long lastTickNanos = System.nanoTime();
    private long lastReadNanos = System.nanoTime();
    private boolean wroteSinceTick;
    private long sequence;

    private HeartbeatHandler(HeartbeatTimer timer) {
        this.timer = timer;
    }

    /** Starts heartbeats on a connection; must see raw bytes, so it goes before the frame decoder. */
    static HeartbeatHandler install(Channel channel, HeartbeatTimer timer) {
        HeartbeatHandler handler = new HeartbeatHandler(timer);
        channel.pipeline().addFirst(handler);
        return handler;
    }

    /** Tells whether a heartbeat from the other end is overdue. */
    boolean overdue() {
        return System.nanoTime() - lastReadNanos > OVERDUE_NANOS;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
        timer.add(this);
    }

    /** Closes the connection after too long a silence and sends a heartbeat where nothing else was sent. */
    void tick() {
        long now = System.nanoTime();
        // After a pause of this process, bytes that came meanwhile are still unread.
        boolean paused = now - lastTickNanos > MAX_SILENCE_NANOS;
        lastTickNanos = now;
        if (!paused && now - lastReadNanos > MAX_SILENCE_NANOS) {
            channel.close();
            return;
        }
        // Calls tell the other end as much as a heartbeat, which costs both ends a wake-up.
        if (!wroteSinceTick) {
            channel.writeAndFlush(new Frame.Heartbeat(++sequence));
        }
        wroteSinceTick = false;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        wroteSinceTick = true;
        context.write(message, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        lastReadNanos = System.nanoTime();
        context.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        timer.remove(this);
        context.fireChannelInactive();
    }
}

package org.mimosahinge.daemon.traffic;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.net.frame.Frame;

/** Sends heartbeats on a connection between nodes and closes a silent one; a dead path shows no other sign. */
final class HeartbeatHandler extends ChannelDuplexHandler {

    private static final long MAX_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    /** Silence after which new calls use another connection while this one may still recover. */
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

    /** Adds the handler to a connection, before the frame decoder because it must see raw bytes. */
    static HeartbeatHandler install(Channel channel, HeartbeatTimer timer) {
        HeartbeatHandler handler = new HeartbeatHandler(timer);
        channel.pipeline().addFirst(handler);
        return handler;
    }

    /** Returns whether a heartbeat from the other end is overdue. */
    boolean overdue() {
        return System.nanoTime() - lastReadNanos > OVERDUE_NANOS;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
        timer.add(this);
    }

    /** Closes the connection after too long a silence; otherwise sends a heartbeat if nothing else was sent. */
    void tick() {
        long now = System.nanoTime();
        // After a pause of this process, received bytes may still be unread.
        boolean paused = now - lastTickNanos > MAX_SILENCE_NANOS;
        lastTickNanos = now;
        if (!paused && now - lastReadNanos > MAX_SILENCE_NANOS) {
            channel.close();
            return;
        }
        // Any other frame replaces the heartbeat, which would wake up both ends.
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

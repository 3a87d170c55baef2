package org.mimosahinge.daemon.traffic;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.core.membership.HeartbeatPolicy;
import org.mimosahinge.net.frame.Frame;

/** Sends heartbeats on a connection between nodes and closes a silent one; a dead path shows no other sign. */
final class HeartbeatHandler extends ChannelDuplexHandler {

    /** A pause of the process that is longer may leave received bytes unread. */
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    private final HeartbeatTimer timer;
    private final HeartbeatPolicy.End end;
    private Channel channel;
    private long lastTickNanos = System.nanoTime();
    private long lastReadNanos = System.nanoTime();
    private long lastWriteNanos = System.nanoTime();
    private long busySinceNanos = System.nanoTime();
    private boolean busy;
    private long sequence;

    private HeartbeatHandler(HeartbeatTimer timer, HeartbeatPolicy.End end) {
        this.timer = timer;
        this.end = end;
    }

    /** Adds the handler to a connection, before the frame decoder because it must see raw bytes. */
    static HeartbeatHandler install(Channel channel, HeartbeatTimer timer, HeartbeatPolicy.End end) {
        HeartbeatHandler handler = new HeartbeatHandler(timer, end);
        channel.pipeline().addFirst(handler);
        return handler;
    }

    /** Sets whether calls are in flight on the connection. */
    void setBusy(boolean callsInFlight) {
        if (callsInFlight && !busy) {
            busySinceNanos = System.nanoTime();
        }
        busy = callsInFlight;
    }

    /** Returns whether a heartbeat from the other end is overdue; new calls then use another connection. */
    boolean overdue() {
        return silentMs(System.nanoTime()) > HeartbeatPolicy.overdueMs(end, busy, timer.connections());
    }

    /** Returns how long the other end has sent nothing although it had to. */
    private long silentMs(long now) {
        long sinceNanos = busy && busySinceNanos - lastReadNanos > 0 ? busySinceNanos : lastReadNanos;
        return TimeUnit.NANOSECONDS.toMillis(now - sinceNanos);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
        timer.add(this);
    }

    /** Closes the connection after too long a silence; otherwise sends a heartbeat if nothing else was sent. */
    void tick() {
        long now = System.nanoTime();
        boolean paused = now - lastTickNanos > PAUSE_NANOS;
        lastTickNanos = now;
        int connections = timer.connections();
        if (!paused && silentMs(now) > HeartbeatPolicy.maxSilenceMs(end, busy, connections)) {
            channel.close();
            return;
        }
        // Any other frame replaces the heartbeat, which would wake up both ends. Ticks are not exactly on time.
        long unsentMs = TimeUnit.NANOSECONDS.toMillis(now - lastWriteNanos) + HeartbeatPolicy.TICK_MS / 2;
        if (unsentMs >= HeartbeatPolicy.intervalMs(end, busy, connections)) {
            channel.writeAndFlush(new Frame.Heartbeat(++sequence));
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        lastWriteNanos = System.nanoTime();
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

package org.mimosahinge.daemon.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.core.membership.HeartbeatPolicy;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.frame.FrameCodec;
import org.mimosahinge.net.frame.FrameDecoder;

/** Sends heartbeats on a connection between nodes and closes a silent one; a dead path shows no other sign. */
final class HeartbeatHandler extends ChannelDuplexHandler {

    /** A pause of the process that is longer may leave received bytes unread. */
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    /**
     * A whole heartbeat frame, encoded once. Most messages of a large fleet are heartbeats, and the codec would take
     * most of their processor time.
     */
    private static final byte[] FRAME = encodedFrame();

    private final HeartbeatTimer timer;
    private final HeartbeatPolicy.End end;
    private FrameDecoder decoder;
    private ChannelHandlerContext context;
    private Channel channel;
    private long lastTickNanos = System.nanoTime();
    private long lastReadNanos = System.nanoTime();
    private long lastWriteNanos = System.nanoTime();
    private long busySinceNanos = System.nanoTime();
    private boolean busy;

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

    private static byte[] encodedFrame() {
        byte[] content = FrameCodec.encode(new Frame.Heartbeat(0));
        return ByteBuffer.allocate(Integer.BYTES + content.length)
                .putInt(content.length)
                .put(content)
                .array();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        channel = added.channel();
        decoder = channel.pipeline().get(FrameDecoder.class);
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
            lastWriteNanos = now;
            context.writeAndFlush(Unpooled.wrappedBuffer(FRAME));
        }
    }

    @Override
    public void write(ChannelHandlerContext from, Object message, ChannelPromise promise) {
        lastWriteNanos = System.nanoTime();
        from.write(message, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext from, Object message) {
        lastReadNanos = System.nanoTime();
        if (message instanceof ByteBuf bytes && isHeartbeat(bytes)) {
            bytes.release();
            return;
        }
        from.fireChannelRead(message);
    }

    /** Returns whether the bytes are one whole heartbeat and not part of another frame. */
    private boolean isHeartbeat(ByteBuf bytes) {
        if (bytes.readableBytes() != FRAME.length || decoder == null || !decoder.atFrameBoundary()) {
            return false;
        }
        for (int i = 0; i < FRAME.length; i++) {
            if (bytes.getByte(bytes.readerIndex() + i) != FRAME[i]) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void channelInactive(ChannelHandlerContext from) {
        timer.remove(this);
        from.fireChannelInactive();
    }
}

package org.mimosahinge.daemon.control;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes of control connections. */
public final class ControlByteCounter {

    private final LongAdder sent = new LongAdder();
    private final LongAdder received = new LongAdder();

    /**
     * Returns the bytes sent since the start.
     *
     * @return the count
     */
    public long sentBytes() {
        return sent.sum();
    }

    /**
     * Returns the bytes received since the start.
     *
     * @return the count
     */
    public long receivedBytes() {
        return received.sum();
    }

    ChannelHandler countingHandler() {
        return new ChannelDuplexHandler() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
                if (message instanceof ByteBuf bytes) {
                    received.add(bytes.readableBytes());
                }
                super.channelRead(context, message);
            }

            @Override
            public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
                if (message instanceof ByteBuf bytes) {
                    sent.add(bytes.readableBytes());
                }
                super.write(context, message, promise);
            }
        };
    }
}

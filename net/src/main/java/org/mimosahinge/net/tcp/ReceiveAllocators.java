package org.mimosahinge.net.tcp;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/** Receive buffer allocators for Netty channels. */
public final class ReceiveAllocators {

    /** Maximum reads from one connection before the event loop serves the others; equals Netty's default. */
    private static final int MAX_READS_PER_TURN = 16;

    private ReceiveAllocators() {}

    /**
     * Creates an allocator with which a channel reads until its socket has no more data.
     *
     * <p>Netty's default stops after a read that does not fill the buffer. A close of the peer is then seen only in a
     * later turn than the data before it; with this allocator both are seen in the same turn.
     *
     * @return the value for the channel option {@code RCVBUF_ALLOCATOR}
     */
    public static RecvByteBufAllocator readUntilEmpty() {
        return new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS_PER_TURN);
    }
}

package org.mimosahinge.net.tcp;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/** Reads a connection until nothing is left, so that a close is seen together with what came before it. */
public final class ReceiveAllocators {

    /** Reads of one connection before others have their turn; Netty's own default. */
    private static final int MAX_READS_PER_TURN = 16;

    private ReceiveAllocators() {}

    /**
     * Creates the allocator that makes connections read so.
     *
     * @return the value of the channel option
     */
    public static RecvByteBufAllocator readUntilEmpty() {
        return new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS_PER_TURN);
    }
}

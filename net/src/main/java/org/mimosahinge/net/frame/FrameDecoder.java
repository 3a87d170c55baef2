package org.mimosahinge.net.frame;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;
import org.mimosahinge.api.error.FrameException;

/** Splits a byte stream into frames by their four-byte length prefix; a malformed frame fails the connection. */
public final class FrameDecoder extends ByteToMessageDecoder {

    private static final int LENGTH_PREFIX_BYTES = 4;

    /**
     * Returns whether the bytes received so far end with a whole frame.
     *
     * @return true if the next byte begins a frame
     */
    public boolean atFrameBoundary() {
        return actualReadableBytes() == 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (in.readableBytes() < LENGTH_PREFIX_BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex());
        if (length <= 0 || length > FrameCodec.MAX_FRAME_BYTES) {
            // The next frame boundary is unknown, so the remaining bytes are discarded instead of parsed.
            in.skipBytes(in.readableBytes());
            throw new FrameException("Frame length " + length + " is not in 1.." + FrameCodec.MAX_FRAME_BYTES);
        }
        if (in.readableBytes() < LENGTH_PREFIX_BYTES + length) {
            return;
        }
        in.skipBytes(LENGTH_PREFIX_BYTES);
        byte[] content = new byte[length];
        in.readBytes(content);
        out.add(FrameCodec.decode(content));
    }
}

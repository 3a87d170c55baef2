package org.mimosahinge.net.frame;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import org.mimosahinge.api.error.FrameException;

/** Writes each frame with a four-byte length prefix. */
public final class FrameEncoder extends MessageToByteEncoder<Frame> {

    @Override
    protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) {
        byte[] content = FrameCodec.encode(frame);
        if (content.length > FrameCodec.MAX_FRAME_BYTES) {
            throw new FrameException(
                    "Frame of " + content.length + " bytes exceeds the limit of " + FrameCodec.MAX_FRAME_BYTES);
        }
        out.writeInt(content.length);
        out.writeBytes(content);
    }
}

package org.mimosahinge.daemon.traffic;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.mimosahinge.core.membership.HeartbeatPolicy;
import org.mimosahinge.net.frame.Frame;
import org.mimosahinge.net.frame.FrameCodec;
import org.mimosahinge.net.frame.FrameDecoder;

/** Guards against bytes of a call that are dropped because they look like a heartbeat. */
class HeartbeatHandlerTest {

    private static final byte[] HEARTBEAT = prefixed(new Frame.Heartbeat(0));

    /** A frame whose content holds the bytes of a whole heartbeat. */
    private static final Frame.Body BODY = new Frame.Body(7, HEARTBEAT, true);

    private static byte[] prefixed(Frame frame) {
        byte[] content = FrameCodec.encode(frame);
        return Unpooled.buffer()
                .writeInt(content.length)
                .writeBytes(content)
                .copy()
                .array();
    }

    private static IntStream splits() {
        return IntStream.range(1, prefixed(BODY).length);
    }

    private static EmbeddedChannel channel() {
        EmbeddedChannel channel = new EmbeddedChannel(new FrameDecoder());
        HeartbeatHandler.install(channel, new HeartbeatTimer(channel.eventLoop()), HeartbeatPolicy.End.DIALING);
        return channel;
    }

    @ParameterizedTest(name = "a read of {0} bytes, then one of a heartbeat's length, then the rest")
    @MethodSource("splits")
    void bytesWithinFrameAreNotHeartbeats(int firstBytes) {
        EmbeddedChannel channel = channel();
        byte[] bytes = prefixed(BODY);
        int secondEnd = Math.min(bytes.length, firstBytes + HEARTBEAT.length);
        channel.writeInbound(Unpooled.copiedBuffer(bytes, 0, firstBytes));
        channel.writeInbound(Unpooled.copiedBuffer(bytes, firstBytes, secondEnd - firstBytes));
        channel.writeInbound(Unpooled.copiedBuffer(bytes, secondEnd, bytes.length - secondEnd));
        Frame.Body received = channel.readInbound();
        assertArrayEquals(HEARTBEAT, received.bytes());
        channel.finishAndReleaseAll();
    }

    @ParameterizedTest(name = "split after {0} bytes")
    @MethodSource("splits")
    void framesAroundHeartbeatsArrive(int split) {
        EmbeddedChannel channel = channel();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(HEARTBEAT);
        out.writeBytes(prefixed(BODY));
        out.writeBytes(HEARTBEAT);
        byte[] bytes = out.toByteArray();
        channel.writeInbound(Unpooled.copiedBuffer(HEARTBEAT));
        channel.writeInbound(Unpooled.copiedBuffer(bytes, 0, split));
        channel.writeInbound(Unpooled.copiedBuffer(bytes, split, bytes.length - split));
        int bodies = 0;
        for (Object frame = channel.readInbound(); frame != null; frame = channel.readInbound()) {
            bodies += frame instanceof Frame.Body ? 1 : 0;
        }
        assertEquals(1, bodies);
        assertNull(channel.readInbound());
        channel.finishAndReleaseAll();
    }
}

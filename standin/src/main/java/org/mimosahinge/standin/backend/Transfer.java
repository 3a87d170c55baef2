package org.mimosahinge.standin.backend;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/** Sends one response in chunks while the connection is writable; confined to its event loop. */
final class Transfer {

    private static final int CHUNK_BYTES = 16 * 1024;

    private final Channel channel;
    private final GeneratedContent content;
    private final long truncateAt;
    private final Runnable complete;
    private long position;
    private boolean ended;

    private Transfer(Channel channel, GeneratedContent content, long truncateAt, Runnable complete) {
        this.channel = channel;
        this.content = content;
        this.truncateAt = truncateAt;
        this.complete = complete;
    }

    /**
     * Writes the head of a response; {@link #writeAvailable} sends the body.
     *
     * @param channel the connection
     * @param response the response
     * @param truncateAfter bytes after which the connection closes; 0 never
     * @param complete runs once the whole response has been written
     * @return the transfer, to be continued at once and whenever the connection becomes writable
     */
    static Transfer of(Channel channel, Response response, long truncateAfter, Runnable complete) {
        DefaultHttpResponse head =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(response.status()));
        response.headers().forEach((name, value) -> head.headers().set(name, value));
        HttpUtil.setContentLength(head, response.content().length());
        channel.write(head);
        long truncateAt = truncateAfter > 0 ? truncateAfter : Long.MAX_VALUE;
        return new Transfer(channel, response.content(), truncateAt, complete);
    }

    void writeAvailable() {
        long end = Math.min(content.length(), truncateAt);
        while (position < end && channel.isWritable()) {
            int count = (int) Math.min(CHUNK_BYTES, end - position);
            channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(content.bytes(position, count))));
            position += count;
        }
        if (position < end || ended) {
            channel.flush();
            return;
        }
        ended = true;
        if (end < content.length()) {
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        } else {
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(written -> complete.run());
        }
    }
}

package org.mimosahinge.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Decodes responses while a request is pending, and closes the connection when unsolicited bytes arrive or the server
 * has closed its side.
 *
 * <p>Unsolicited bytes could otherwise be decoded as the start of the next response, or be read without limit.
 *
 * <p>A response with a malformed status line is passed on as a failed message, and its bytes as no message at all.
 *
 * <p>A body without a length is complete only if the server has ended its stream. A reset, a failed write and a close by
 * this process also make the channel inactive, but leave the body truncated.
 */
public final class PendingResponseDecoder extends HttpResponseDecoder {

    private final Supplier<Optional<HttpMethod>> pendingMethod;

    /**
     * Creates the decoder of one connection.
     *
     * @param pendingMethod supplies the method of the request that awaits its response, empty when there is none
     */
    public PendingResponseDecoder(Supplier<Optional<HttpMethod>> pendingMethod) {
        this.pendingMethod = pendingMethod;
    }

    /** Enables half-closure, since only then the end of the server's stream differs from the end of the channel. */
    @Override
    public void handlerAdded(ChannelHandlerContext context) throws Exception {
        super.handlerAdded(context);
        context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        super.userEventTriggered(context, event);
        if (event instanceof ChannelInputShutdownEvent) {
            context.close();
        }
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        if (context.channel().isActive()) {
            super.decodeLast(context, buffer, out);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        if (pendingMethod.get().isPresent()) {
            super.decode(context, buffer, out);
        } else {
            buffer.skipBytes(buffer.readableBytes());
            context.close();
        }
    }

    /** Rejects status lines outside the protocol, which the parent class accepts as responses. */
    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        if (!HttpStatusLine.isValid(initialLine[0], initialLine[1])) {
            throw new IllegalArgumentException("malformed status line: " + initialLine[0] + ' ' + initialLine[1]);
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        HttpResponseStatus status = ((HttpResponse) message).status();
        HttpMethod method = pendingMethod.get().orElse(HttpMethod.GET);
        boolean bodyless = method.equals(HttpMethod.HEAD)
                || method.equals(HttpMethod.CONNECT) && status.codeClass() == HttpStatusClass.SUCCESS;
        return bodyless && status.codeClass() != HttpStatusClass.INFORMATIONAL || super.isContentAlwaysEmpty(message);
    }
}

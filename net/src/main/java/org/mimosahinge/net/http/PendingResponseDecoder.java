package org.mimosahinge.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
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
 * Decodes responses to requests and closes the connection when it brings bytes that no request waits for.
 *
 * <p>A decoder that took such bytes could make them the beginning of the next response, or take them without end.
 */
public final class PendingResponseDecoder extends HttpResponseDecoder {

    private final Supplier<Optional<HttpMethod>> pendingMethod;

    /**
     * Creates the decoder of one connection.
     *
     * @param pendingMethod method of the request that waits for its response, empty when none does
     */
    public PendingResponseDecoder(Supplier<Optional<HttpMethod>> pendingMethod) {
        this.pendingMethod = pendingMethod;
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

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        HttpResponseStatus status = ((HttpResponse) message).status();
        HttpMethod method = pendingMethod.get().orElse(HttpMethod.GET);
        boolean bodyless = method.equals(HttpMethod.HEAD)
                || method.equals(HttpMethod.CONNECT) && status.codeClass() == HttpStatusClass.SUCCESS;
        return bodyless && status.codeClass() != HttpStatusClass.INFORMATIONAL || super.isContentAlwaysEmpty(message);
    }
}

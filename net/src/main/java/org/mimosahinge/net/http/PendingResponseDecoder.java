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
 * Decodes responses while a request is pending, and closes the connection when unsolicited bytes arrive.
 *
 * <p>Unsolicited bytes could otherwise be decoded as the start of the next response, or be read without limit.
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

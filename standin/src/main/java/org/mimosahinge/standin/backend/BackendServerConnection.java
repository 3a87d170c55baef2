package org.mimosahinge.standin.backend;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.standin.backend.BackendCalls.Kind;

/** Responds to the requests of one connection in order; confined to its event loop. */
final class BackendServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    private final BackendCalls calls;
    private final Queue<FullHttpRequest> waiting = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private boolean responding;
    private boolean callRunning;
    private Future<?> delayedResponse;
    private Transfer transfer;

    BackendServerConnection(BackendCalls calls) {
        this.calls = calls;
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        calls.counters().connected();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext active, FullHttpRequest request) {
        waiting.add(request.retain());
        processNext();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext active) {
        // Netty reports the change during write and flush, so writing here would re-enter the encoder.
        active.executor().execute(this::resumeTransfer);
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        calls.counters().disconnected();
        if (delayedResponse != null) {
            delayedResponse.cancel(false);
        }
        if (callRunning) {
            callRunning = false;
            calls.callCancelled();
        }
        waiting.forEach(FullHttpRequest::release);
        waiting.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        failed.close();
    }

    private void processNext() {
        if (responding || waiting.isEmpty()) {
            return;
        }
        responding = true;
        FullHttpRequest request = waiting.poll();
        try {
            BackendCalls.PlannedResponse response = calls.respond(request);
            callRunning = response.kind() == Kind.RUN;
            Runnable send = response.kind() == Kind.CONTROL
                    ? () -> send(response)
                    : () -> calls.pausableRunner().run(() -> send(response));
            if (response.delayMs() == 0) {
                send.run();
            } else {
                delayedResponse = context.executor().schedule(send, response.delayMs(), TimeUnit.MILLISECONDS);
            }
        } finally {
            request.release();
        }
    }

    private void send(BackendCalls.PlannedResponse response) {
        if (context.channel().isActive()) {
            transfer =
                    Transfer.of(context.channel(), response.response(), response.truncateAfter(), this::responseSent);
            transfer.writeAvailable();
        }
    }

    private void responseSent() {
        if (callRunning) {
            callRunning = false;
            calls.callEnded();
        }
        transfer = null;
        responding = false;
        processNext();
    }

    private void resumeTransfer() {
        Transfer current = transfer;
        if (current != null && context.channel().isActive()) {
            calls.pausableRunner().run(current::writeAvailable);
        }
    }
}

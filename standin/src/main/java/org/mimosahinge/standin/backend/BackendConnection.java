package org.mimosahinge.standin.backend;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.standin.backend.BackendCalls.Kind;

/** Answers the requests of one connection in their order; used by its event loop. */
final class BackendConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    private final BackendCalls calls;
    private final Queue<FullHttpRequest> waiting = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private boolean busy;
    private boolean call;
    private Future<?> delay;
    private Transfer transfer;

    BackendConnection(BackendCalls calls) {
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
        next();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext active) {
        // Netty reports the change from inside write and flush, whose encoder must not be entered again.
        active.executor().execute(this::proceed);
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        calls.counters().disconnected();
        if (delay != null) {
            delay.cancel(false);
        }
        if (call) {
            call = false;
            calls.cancelled();
        }
        waiting.forEach(FullHttpRequest::release);
        waiting.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        failed.close();
    }

    private void next() {
        if (busy || waiting.isEmpty()) {
            return;
        }
        busy = true;
        FullHttpRequest request = waiting.poll();
        try {
            BackendCalls.Answer answer = calls.answer(request);
            call = answer.kind() == Kind.RUN;
            Runnable send = answer.kind() == Kind.CONTROL
                    ? () -> send(answer)
                    : () -> calls.gate().run(() -> send(answer));
            if (answer.delayMs() == 0) {
                send.run();
            } else {
                delay = context.executor().schedule(send, answer.delayMs(), TimeUnit.MILLISECONDS);
            }
        } finally {
            request.release();
        }
    }

    private void send(BackendCalls.Answer answer) {
        if (context.channel().isActive()) {
            transfer = Transfer.of(context.channel(), answer.reply(), answer.truncateAfter(), this::sent);
            transfer.proceed();
        }
    }

    private void sent() {
        if (call) {
            call = false;
            calls.ended();
        }
        transfer = null;
        busy = false;
        next();
    }

    private void proceed() {
        Transfer current = transfer;
        if (current != null && context.channel().isActive()) {
            calls.gate().run(current::proceed);
        }
    }
}

package org.mimosahinge.daemon.traffic;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import org.mimosahinge.net.frame.Frame;

/** Carries a call to the event loop that owns a backend server's slots, and its response back. */
record LoopHop(EventLoop home, EventLoop owner, CallTarget target) implements CallTarget {

    @Override
    public Exchange start(Frame.CallStart start, ResponseObserver observer) {
        Sender sender = new Sender();
        long sentMs = TrafficLoop.nowMs();
        owner.execute(() -> sender.begin(start.withElapsed(TrafficLoop.nowMs() - sentMs), new Receiver(observer)));
        return sender;
    }

    private final class Sender implements Exchange {

        /** Touched on the owner's event loop only. */
        private Exchange remote = EndedExchange.INSTANCE;

        private volatile boolean cancelled;

        private void begin(Frame.CallStart start, ResponseObserver observer) {
            if (!cancelled) {
                remote = target.startInTime(start, observer);
            }
        }

        private void send(Consumer<Exchange> step) {
            owner.execute(() -> step.accept(remote));
        }

        @Override
        public void body(byte[] bytes, boolean last) {
            send(exchange -> exchange.body(bytes, last));
        }

        @Override
        public void credit(int bytes) {
            send(exchange -> exchange.credit(bytes));
        }

        @Override
        public void cancel() {
            cancelled = true;
            send(Exchange::cancel);
        }

        @Override
        public void flush() {
            send(Exchange::flush);
        }
    }

    private final class Receiver implements ResponseObserver {

        private final ResponseObserver observer;

        Receiver(ResponseObserver observer) {
            this.observer = observer;
        }

        private void send(Consumer<ResponseObserver> step) {
            home.execute(() -> step.accept(observer));
        }

        @Override
        public void started(Frame.ResponseStart start) {
            send(receiver -> receiver.started(start));
        }

        @Override
        public void body(byte[] bytes, boolean last) {
            send(receiver -> receiver.body(bytes, last));
        }

        @Override
        public void credit(int bytes) {
            send(receiver -> receiver.credit(bytes));
        }

        @Override
        public void failed(Frame.CallFailure failure) {
            send(receiver -> receiver.failed(failure));
        }

        @Override
        public void flush() {
            send(ResponseObserver::flush);
        }
    }
}

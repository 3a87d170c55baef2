package org.mimosahinge.daemon.traffic;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import org.mimosahinge.net.frame.Frame;

/**
 * Passes a call to the event loop that owns a backend server's slots, and its response back.
 *
 * @param callerLoop event loop of the call
 * @param ownerLoop event loop that owns the slots
 * @param target destination of calls on the owning event loop
 */
record CrossLoopTarget(EventLoop callerLoop, EventLoop ownerLoop, CallTarget target) implements CallTarget {

    @Override
    public CallStream start(Frame.CallStart start, ResponseObserver observer) {
        CrossLoopStream stream = new CrossLoopStream();
        long sentMs = TrafficLoop.nowMs();
        ownerLoop.execute(
                () -> stream.start(start.withElapsed(TrafficLoop.nowMs() - sentMs), new CrossLoopObserver(observer)));
        return stream;
    }

    private final class CrossLoopStream implements CallStream {

        /** Accessed on the owning event loop only. */
        private CallStream remote = NoOpCallStream.INSTANCE;

        private volatile boolean cancelled;

        private void start(Frame.CallStart start, ResponseObserver observer) {
            if (!cancelled) {
                remote = target.startBeforeDeadline(start, observer);
            }
        }

        private void runOnOwner(Consumer<CallStream> step) {
            ownerLoop.execute(() -> step.accept(remote));
        }

        @Override
        public void body(byte[] bytes, boolean last) {
            runOnOwner(stream -> stream.body(bytes, last));
        }

        @Override
        public void credit(int bytes) {
            runOnOwner(stream -> stream.credit(bytes));
        }

        @Override
        public void cancel() {
            cancelled = true;
            runOnOwner(CallStream::cancel);
        }

        @Override
        public void flush() {
            runOnOwner(CallStream::flush);
        }
    }

    private final class CrossLoopObserver implements ResponseObserver {

        private final ResponseObserver observer;

        CrossLoopObserver(ResponseObserver observer) {
            this.observer = observer;
        }

        private void runOnCaller(Consumer<ResponseObserver> step) {
            callerLoop.execute(() -> step.accept(observer));
        }

        @Override
        public void started(Frame.ResponseStart start) {
            runOnCaller(receiver -> receiver.started(start));
        }

        @Override
        public void body(byte[] bytes, boolean last) {
            runOnCaller(receiver -> receiver.body(bytes, last));
        }

        @Override
        public void credit(int bytes) {
            runOnCaller(receiver -> receiver.credit(bytes));
        }

        @Override
        public void failed(Frame.CallFailure failure) {
            runOnCaller(receiver -> receiver.failed(failure));
        }

        @Override
        public void flush() {
            runOnCaller(ResponseObserver::flush);
        }
    }
}

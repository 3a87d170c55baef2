package org.mimosahinge.daemon.traffic;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.mimosahinge.api.error.ErrorCode;
import org.mimosahinge.net.frame.Frame;

/** One call at a backend server beside this node. */
final class BackendCall implements Exchange, BackendConnection.User {

    private final BackendGate gate;
    private final Frame.CallStart start;
    private final ResponseObserver observer;
    private final long deadlineNanos;
    private final FlowWindow responseWindow = new FlowWindow();
    private final Queue<Frame.Body> unsent = new ArrayDeque<>();
    private BackendConnection connection;
    private boolean responseStarted;
    private boolean ended;

    BackendCall(BackendGate gate, Frame.CallStart start, ResponseObserver observer, EventLoop loop) {
        this.gate = gate;
        this.start = start;
        this.observer = observer;
        deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(start.deadlineMs());
    }

    /** Takes the connection for the call; null when the backend server accepts none. */
    void connected(BackendConnection opened) {
        if (ended) {
            if (opened != null) {
                opened.close();
            }
            return;
        }
        if (opened == null) {
            gate.refused();
            fail(Failures.notRun(start.callId(), ErrorCode.CONNECTION_LOST, "Backend server refused the connection"));
            return;
        }
        connection = opened;
        connection.send(start, remainingMs(), this);
        for (Frame.Body part = unsent.poll(); part != null; part = unsent.poll()) {
            connection.body(part.bytes(), part.last());
        }
        connection.flush();
    }

    private int remainingMs() {
        return (int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()));
    }

    @Override
    public void body(byte[] bytes, boolean last) {
        if (connection != null) {
            connection.body(bytes, last);
        } else if (!ended) {
            unsent.add(new Frame.Body(start.callId(), bytes, last));
        }
    }

    @Override
    public void credit(int bytes) {
        responseWindow.granted(bytes);
        if (connection != null && responseWindow.open()) {
            connection.reading(true);
        }
    }

    @Override
    public void cancel() {
        if (!ended) {
            end();
            if (connection != null) {
                // HTTP/1.1 has no other way to tell a backend server that the response is not wanted.
                connection.close();
                connection = null;
            }
        }
    }

    @Override
    public void flush() {
        if (connection != null) {
            connection.flush();
        }
    }

    @Override
    public void started(int status, Map<String, String> headers) {
        responseStarted = true;
        observer.started(new Frame.ResponseStart(
                start.callId(), status, headers, HeaderMaps.contentLength(headers), gate.loadPermille()));
    }

    @Override
    public void received(byte[] bytes, boolean last) {
        if (last) {
            BackendConnection used = connection;
            connection = null;
            end();
            gate.release(used);
        } else {
            responseWindow.sent(bytes.length);
            connection.reading(responseWindow.open());
        }
        observer.body(bytes, last);
        if (last) {
            observer.flush();
        }
    }

    @Override
    public void written(int bytes) {
        observer.credit(bytes);
    }

    @Override
    public void readComplete() {
        observer.flush();
    }

    @Override
    public void lost() {
        connection = null;
        fail(Failures.mayHaveRun(
                start.callId(),
                responseStarted ? ErrorCode.ANSWER_TRUNCATED : ErrorCode.CONNECTION_LOST,
                "Backend server closed the connection before the end of the response"));
    }

    private void fail(Frame.CallFailure failure) {
        end();
        observer.failed(failure);
        observer.flush();
    }

    private void end() {
        ended = true;
        unsent.clear();
        gate.ended();
    }
}

package org.mimosahinge.daemon.traffic;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.mimosahinge.core.pipelining.PipeliningPolicy;

/**
 * The unanswered requests of a caller's connection in order of arrival. The first one writes its response; the others
 * hold theirs until it is their turn.
 */
final class ExchangeQueue {

    /** Bounds the held responses, one flow-control window each, and the slots that one caller can occupy. */
    private static final PipeliningPolicy POLICY = new PipeliningPolicy(8);

    private final Channel channel;
    private final TrafficLoop loop;
    private final Runnable onAdvance;
    private final Runnable onWindowChange;
    private final Deque<RequestExchange> exchanges = new ArrayDeque<>();
    private ChannelFuture lastWritten;
    private long completedRequests;
    private long idleSinceMs = TrafficLoop.nowMs();
    private boolean closing;
    private boolean ended;

    /**
     * Creates the queue of a connection.
     *
     * @param channel the connection
     * @param loop the connection's event loop
     * @param onAdvance called when a request is complete, so that further ones may be started
     * @param onWindowChange called when the connection may have to be read or not to be read
     */
    ExchangeQueue(Channel channel, TrafficLoop loop, Runnable onAdvance, Runnable onWindowChange) {
        this.channel = channel;
        this.loop = loop;
        this.onAdvance = onAdvance;
        this.onWindowChange = onWindowChange;
    }

    Channel channel() {
        return channel;
    }

    boolean isEmpty() {
        return exchanges.isEmpty();
    }

    /** Returns the newest exchange, or null if there is none. */
    RequestExchange last() {
        return exchanges.peekLast();
    }

    /** Returns whether the next message continues the newest request. */
    boolean awaitsContent() {
        RequestExchange last = exchanges.peekLast();
        return last != null && !last.requestComplete();
    }

    /** Returns whether no further messages are handled, because the connection closes after a decided response. */
    boolean closing() {
        return closing;
    }

    long completedRequests() {
        return completedRequests;
    }

    long idleSinceMs() {
        return idleSinceMs;
    }

    /** Returns whether a request may be started although those before it are unanswered. */
    boolean mayStart(RequestExchange next) {
        return !loop.plane().closingCallers()
                && POLICY.mayStart(exchanges.size(), exchanges.getLast().pipelinedRequest(), next.pipelinedRequest());
    }

    void start(RequestExchange exchange) {
        if (!exchanges.isEmpty()) {
            exchanges.getLast().flushRequest();
            loop.context().metrics().startedBehindOthers();
        }
        exchanges.add(exchange);
        exchange.begin(exchanges.size() == 1);
    }

    /** Handles no further messages; a response that closes the connection follows. */
    void stopReceiving() {
        closing = true;
    }

    /**
     * Returns whether the connection closes after the response of an exchange. In a planned stop this is the last one
     * of those that run, so that none of them is broken off; no further ones are started beside them.
     */
    boolean closesAfter(RequestExchange exchange) {
        return !exchange.keepAlive() || loop.plane().closingCallers() && exchange == exchanges.peekLast();
    }

    /** Handles a response whose last part has been written to the channel. */
    void responseWritten(RequestExchange exchange, ChannelFuture written) {
        lastWritten = written;
        if (closesAfter(exchange)) {
            closeAfter(exchange, written);
        } else {
            advance();
        }
    }

    /** Gives the next exchange its turn if the first one is complete. */
    void advance() {
        RequestExchange first = exchanges.peekFirst();
        if (!ended && first != null && first.complete()) {
            exchanges.pollFirst();
            completedRequests++;
            idleSinceMs = TrafficLoop.nowMs();
            RequestExchange next = exchanges.peekFirst();
            if (next != null) {
                next.takeTurn();
            }
            onAdvance.run();
        } else {
            onWindowChange.run();
        }
    }

    void windowChanged() {
        onWindowChange.run();
    }

    /** Closes the connection after a response; requests behind it count as not read, so their calls are cancelled. */
    void closeAfter(RequestExchange exchange, ChannelFuture written) {
        closing = true;
        ended = true;
        for (RequestExchange other : List.copyOf(exchanges)) {
            if (other != exchange) {
                other.cancel();
            }
        }
        channel.flush();
        written.addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes the connection within a response, once the responses before it are sent. */
    void abort() {
        cancelAll();
        exchanges.clear();
        closing = true;
        ended = true;
        idleSinceMs = TrafficLoop.nowMs();
        if (lastWritten == null || lastWritten.isDone()) {
            channel.close();
        } else {
            channel.flush();
            lastWritten.addListener(ChannelFutureListener.CLOSE);
            onAdvance.run();
        }
    }

    /** Ends all calls because the caller has disconnected. */
    void cancelAll() {
        List.copyOf(exchanges).forEach(RequestExchange::cancel);
    }

    /** Ends all calls with a failure because the process ends. */
    void endCalls() {
        List.copyOf(exchanges).forEach(RequestExchange::nodeStops);
        channel.flush();
    }
}

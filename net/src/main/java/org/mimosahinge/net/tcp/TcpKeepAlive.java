package org.mimosahinge.net.tcp;

import io.netty.bootstrap.AbstractBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * TCP keep-alive with short intervals.
 *
 * <p>A device on the path, such as a stateful firewall, may drop the state of a connection that is still open at both
 * ends. On an idle connection only keep-alive probes or a timeout of the application protocol detect this.
 */
public final class TcpKeepAlive {

    /** Idle time before the first probe; short because configuration must be in force 2 s after a change. */
    private static final int IDLE_SECONDS = 1;

    private static final int INTERVAL_SECONDS = 1;

    /** Unanswered probes after which the connection is closed; a link with packet loss may drop one of them. */
    private static final int MAX_UNANSWERED_PROBES = 2;

    private TcpKeepAlive() {}

    /**
     * Enables keep-alive probes on the connections that a bootstrap opens.
     *
     * @param bootstrap the bootstrap to configure
     * @param <B> type of the bootstrap
     * @return the bootstrap
     */
    public static <B extends AbstractBootstrap<?, ?>> B configure(B bootstrap) {
        bootstrap.option(ChannelOption.SO_KEEPALIVE, true);
        bootstrap.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS);
        bootstrap.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS);
        bootstrap.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), MAX_UNANSWERED_PROBES);
        return bootstrap;
    }
}

package org.mimosahinge.net.tcp;

import io.netty.bootstrap.AbstractBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * Short keep-alive probes for connections.
 *
 * <p>Something between two ends may lose track of a connection that both still hold. Only probes, or a time-out of the
 * protocol above, show this on a connection that waits.
 */
public final class TcpKeepAlive {

    /** Seconds without traffic before the first probe; configuration must be in force two seconds after a change. */
    private static final int IDLE_SECONDS = 1;

    private static final int INTERVAL_SECONDS = 1;

    /** Unanswered probes until the connection counts as broken; one may be lost on a link that drops packets. */
    private static final int MAX_UNANSWERED_PROBES = 2;

    private TcpKeepAlive() {}

    /**
     * Sets the probes of connections that a bootstrap opens.
     *
     * @param bootstrap opens connections
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

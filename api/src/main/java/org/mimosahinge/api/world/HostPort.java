package org.mimosahinge.api.world;

import org.mimosahinge.api.error.InvalidAddressException;

/**
 * A TCP socket address.
 *
 * <p>{@code equals} and {@code hashCode} are written out: the generated ones link method handles at their first use,
 * which delays the start of a node, and stay slow where only the first compiler tier is used.
 *
 * @param host IP address
 * @param port TCP port from 1 to 65535; 0 lets the operating system choose one when a server binds
 */
public record HostPort(String host, int port) {

    private static final int MAX_PORT = 65_535;

    /**
     * Returns whether a client can connect to this address. Connecting to a port out of range is a programming error.
     *
     * @return true if the port is between 1 and 65535
     */
    public boolean isConnectable() {
        return port > 0 && port <= MAX_PORT;
    }

    /**
     * Parses {@code host:port}.
     *
     * @param text the text to parse
     * @return the parsed address
     * @throws InvalidAddressException if the text has another form
     */
    public static HostPort parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new InvalidAddressException(text);
        }
        try {
            return new HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new InvalidAddressException(text);
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof HostPort address && port == address.port && host.equals(address.host);
    }

    @Override
    public int hashCode() {
        return 31 * host.hashCode() + port;
    }
}

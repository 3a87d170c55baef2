package org.mimosahinge.api.world;

import org.mimosahinge.api.error.InvalidAddressException;

/**
 * A TCP address given by IP number and port.
 *
 * @param host the IP number
 * @param port the TCP port, 1 to 65535; 0 lets a server pick one
 */
public record HostPort(String host, int port) {

    private static final int MAX_PORT = 65_535;

    /**
     * Tells whether a connection can be opened to the address; to try it with another port is an error of the caller.
     *
     * @return whether the port is one that a server can have
     */
    public boolean isConnectable() {
        return port > 0 && port <= MAX_PORT;
    }

    /**
     * Parses {@code host:port}.
     *
     * @param text the address
     * @return the parsed address
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
}

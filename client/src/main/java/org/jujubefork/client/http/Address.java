package org.jujubefork.client.http;

import java.net.URI;

/**
 * TCP address of a server.
 *
 * @param host IPv4 address or host name
 * @param port TCP port, 1 to 65535
 */
public record Address(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Rejects an empty host, a host with {@code :} or {@code /} and a port out of range. */
    public Address {
        if (host.isEmpty() || host.indexOf(':') >= 0 || host.indexOf('/') >= 0) {
            throw new IllegalArgumentException("invalid host: '" + host + "'");
        }
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("port out of range: " + port);
        }
    }

    /** Returns the address {@code host:port}. */
    public static Address of(String host, int port) {
        return new Address(host, port);
    }

    /**
     * Parses {@code host:port}.
     *
     * @throws IllegalArgumentException if {@code text} has another form
     */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("address without port: '" + text + "'");
        }
        return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /**
     * Returns the URI of a resource at this address.
     *
     * @param pathAndQuery absolute path with an optional query, already percent-encoded
     */
    public URI uri(String pathAndQuery) {
        return URI.create("http://" + host + ":" + port + pathAndQuery);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}

package org.jujubefork.config.settings;

import java.util.regex.Pattern;

/**
 * A TCP address. Host names are not allowed, because daemons address each other by IP address.
 *
 * @param host an IPv4 address, or an IPv6 address without brackets
 * @param port the TCP port, from 1 to 65535
 */
public record HostPort(String host, int port) {
    /** Regular expression for an address in a settings file; an IPv6 address is in brackets. */
    static final String ADDRESS_REGEX =
            "((25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(25[0-5]|2[0-4]\\d|1?\\d?\\d)){3}"
                    + "|\\[[0-9a-fA-F:.]{2,45}\\])"
                    + ":([1-9]\\d{0,3}|[1-5]\\d{4}|6[0-4]\\d{3}|65[0-4]\\d{2}"
                    + "|655[0-2]\\d|6553[0-5])";

    private static final Pattern ADDRESS_PATTERN = Pattern.compile(ADDRESS_REGEX);
    private static final int MAX_PORT = 65_535;

    /** Checks the range of the port. */
    public HostPort {
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("port must be between 1 and 65535: " + port);
        }
    }

    /** Returns an address; {@code host} is an IP address without brackets. */
    public static HostPort of(String host, int port) {
        return new HostPort(host, port);
    }

    /**
     * Parses {@code 10.0.0.1:7400} or {@code [fd00::1]:7400}.
     *
     * @throws IllegalArgumentException if {@code text} is not an IP address and port
     */
    public static HostPort parse(String text) {
        if (!ADDRESS_PATTERN.matcher(text).matches()) {
            throw new IllegalArgumentException("not an IP address and port: " + text);
        }
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, colon);
        String unbracketedHost = host.startsWith("[") ? host.substring(1, host.length() - 1) : host;
        return new HostPort(unbracketedHost, Integer.parseInt(text.substring(colon + 1)));
    }

    /** Returns the address in the form that URLs and {@link #parse} use. */
    @Override
    public String toString() {
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + port;
    }
}

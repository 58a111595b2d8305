package org.jujubefork.client.api;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Addresses, access key and time limits for calls to a cell.
 *
 * @param entries addresses of entries as {@code host:port}, tried in this order
 * @param key access key; empty for calls to queues that need none
 * @param connectTimeout time limit for establishing one connection
 * @param timeout time limit for a call, including its retries
 */
public record ApiClientSettings(
        List<String> entries, Optional<String> key, Duration connectTimeout, Duration timeout) {
    /**
     * Default time limit for one connection; ample for one-way delays of up to 10 ms between
     * regions.
     */
    public static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /**
     * Default time limit for one call; longer than the takeover of a shard, which takes up to 10 s.
     */
    public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(15);

    /** Rejects an empty list of entries and time limits that are not positive. */
    public ApiClientSettings {
        entries = List.copyOf(entries);
        if (entries.isEmpty()) {
            throw new IllegalArgumentException("at least one entry address is required");
        }
        if (!connectTimeout.isPositive() || !timeout.isPositive()) {
            throw new IllegalArgumentException(
                    "timeouts must be positive: " + connectTimeout + ", " + timeout);
        }
    }

    /** Returns settings with the default time limits. */
    public static ApiClientSettings of(List<String> entries, Optional<String> key) {
        return new ApiClientSettings(entries, key, DEFAULT_CONNECT_TIMEOUT, DEFAULT_TIMEOUT);
    }

    /** Returns these settings with another time limit for each call. */
    public ApiClientSettings withTimeout(Duration newTimeout) {
        return new ApiClientSettings(entries, key, connectTimeout, newTimeout);
    }
}

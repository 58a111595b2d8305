package org.jujubefork.client.api;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * How to reach a cell.
 *
 * @param entries {@code host:port} of entries, tried in this order
 * @param key the access key, empty for open queues
 * @param connectTimeout how long one connection may take to be made
 * @param timeout how long a call may take in all, with its retries
 */
public record ApiClientSettings(
        List<String> entries, Optional<String> key, Duration connectTimeout, Duration timeout) {
    /** Time to make one connection that suits one-way delays of up to 10 ms between regions. */
    public static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /** Time for one call that is enough for the takeover of a shard (10 s). */
    public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(15);

    /** Checks entries and times. */
    public ApiClientSettings {
        entries = List.copyOf(entries);
        if (entries.isEmpty()) {
            throw new IllegalArgumentException("at least one entry address is needed");
        }
        if (!connectTimeout.isPositive() || !timeout.isPositive()) {
            throw new IllegalArgumentException(
                    "timeouts must be above 0: " + connectTimeout + ", " + timeout);
        }
    }

    /** Returns settings with the default times. */
    public static ApiClientSettings of(List<String> entries, Optional<String> key) {
        return new ApiClientSettings(entries, key, DEFAULT_CONNECT_TIMEOUT, DEFAULT_TIMEOUT);
    }

    /** Returns these settings with another time for each call. */
    public ApiClientSettings withTimeout(Duration newTimeout) {
        return new ApiClientSettings(entries, key, connectTimeout, newTimeout);
    }
}

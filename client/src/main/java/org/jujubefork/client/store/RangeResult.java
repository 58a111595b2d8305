package org.jujubefork.client.store;

import java.util.List;

/**
 * All keys with a common prefix, read at one store revision.
 *
 * @param revision store revision at which the keys were read
 * @param items keys with their values, in ascending key order
 */
public record RangeResult(long revision, List<KeyValue> items) {
    /** Copies the list. */
    public RangeResult {
        items = List.copyOf(items);
    }
}

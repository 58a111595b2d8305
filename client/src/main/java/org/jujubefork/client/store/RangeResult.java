package org.jujubefork.client.store;

import java.util.List;

/**
 * All keys below a prefix at one revision of the store.
 *
 * @param revision the store's revision at the time of the read
 * @param items the keys in ascending order
 */
public record RangeResult(long revision, List<KeyValue> items) {
    /** Copies the list. */
    public RangeResult {
        items = List.copyOf(items);
    }
}

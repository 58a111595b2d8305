package org.jujubefork.standins.store;

import java.util.Optional;

/**
 * One change of a key.
 *
 * @param value the new value, empty for a deletion
 */
record StoredChange(String key, long revision, Optional<byte[]> value) {
    long bytes() {
        return value.map(v -> (long) v.length).orElse(0L);
    }
}

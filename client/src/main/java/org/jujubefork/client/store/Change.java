package org.jujubefork.client.store;

import java.util.Optional;

/**
 * One change of a key.
 *
 * @param key the key
 * @param revision the store's revision that the change created
 * @param value the new value, empty if the key was deleted or its lease expired
 */
public record Change(String key, long revision, Optional<byte[]> value) {
    /** Returns whether the key was deleted. */
    public boolean isDeletion() {
        return value.isEmpty();
    }
}

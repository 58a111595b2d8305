package org.jujubefork.client.store;

import java.util.Optional;

/**
 * One change of a key, as reported by a watch.
 *
 * @param key key that changed
 * @param revision store revision created by the change
 * @param value new value; empty if the key was deleted or its lease expired
 */
public record Change(String key, long revision, Optional<byte[]> value) {
    /** Returns whether the key was removed, by a delete or by the expiry of its lease. */
    public boolean isDeletion() {
        return value.isEmpty();
    }
}

package org.jujubefork.standins.store;

import java.util.OptionalLong;

/** What changes the store's state. */
sealed interface StoreCommand {
    /** Writes a key; {@code lease} is empty if the key does not expire. */
    @SuppressWarnings("ArrayRecordComponent") // values are never modified
    record Put(String key, byte[] value, OptionalLong ifRevision, String lease)
            implements StoreCommand {}

    record Delete(String key, OptionalLong ifRevision) implements StoreCommand {}

    record Grant(long ttlNanos) implements StoreCommand {}

    record KeepAlive(String lease) implements StoreCommand {}

    /** Removes leases whose time is over, with their keys. */
    record Expire() implements StoreCommand {}
}

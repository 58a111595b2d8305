package org.jujubefork.client.store;

/**
 * A key with its value. Values are not copied; callers do not modify them.
 *
 * @param key the key
 * @param value the value, at most {@link StoreClient#MAX_VALUE_BYTES}
 * @param revision the store's revision at which the key was last written
 */
@SuppressWarnings("ArrayRecordComponent") // values of up to 1 MiB; a copy at each access is waste
public record KeyValue(String key, byte[] value, long revision) {}

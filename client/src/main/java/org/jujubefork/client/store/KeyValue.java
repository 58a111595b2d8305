package org.jujubefork.client.store;

/**
 * A key with its value. The value array is not copied, so callers must not modify it.
 *
 * @param key key in the store
 * @param value value of at most {@link StoreClient#MAX_VALUE_BYTES} bytes
 * @param revision store revision at which the key was last written
 */
@SuppressWarnings("ArrayRecordComponent") // avoids a copy of up to 1 MiB per access
public record KeyValue(String key, byte[] value, long revision) {}

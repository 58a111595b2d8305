package org.jujubefork.standins.store;

/**
 * A lease.
 *
 * @param ttlNanos time to live in nanoseconds
 * @param expiresNanos monotonic time of expiry
 */
record StoredLease(long ttlNanos, long expiresNanos) {}

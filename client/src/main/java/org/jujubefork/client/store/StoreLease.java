package org.jujubefork.client.store;

import java.time.Duration;

/**
 * A lease that the store granted.
 *
 * @param id the store's identifier of the lease
 * @param ttl time to live after the grant and after each keep-alive
 */
public record StoreLease(String id, Duration ttl) {}

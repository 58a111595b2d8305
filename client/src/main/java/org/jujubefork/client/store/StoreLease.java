package org.jujubefork.client.store;

import java.time.Duration;

/**
 * A lease that the store granted.
 *
 * @param id identifier assigned by the store
 * @param ttl time until expiry, counted from the grant and from each keep-alive
 */
public record StoreLease(String id, Duration ttl) {}

package org.jujubefork.client.api;

/**
 * How the entry gets on with the store.
 *
 * @param reachable whether the last call succeeded
 * @param lastContactAgeMillis time since the last answer in milliseconds, -1 if there was none
 */
public record StoreView(boolean reachable, long lastContactAgeMillis) {}

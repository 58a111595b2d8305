package org.jujubefork.client.api;

/**
 * State of the entry's connection to the store.
 *
 * @param reachable whether the last call to the store succeeded
 * @param lastContactAgeMillis time since the last response from the store in milliseconds, -1 if
 *     there was none
 */
public record StoreView(boolean reachable, long lastContactAgeMillis) {}

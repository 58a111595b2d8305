package org.jujubefork.core.event;

/**
 * This entry was asked to hand over its shards, answer the requests that it has accepted and stop.
 *
 * @param atMillis when the drain was requested
 */
public record DrainRequested(long atMillis) implements Event {}

package org.jujubefork.core.event;

/**
 * The entry is to hand over its shards, answer what it has accepted and stop.
 *
 * @param atMillis when it was asked to
 */
public record DrainRequested(long atMillis) implements Event {}

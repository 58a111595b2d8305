package org.jujubefork.core.event;

/**
 * A periodic event that triggers all work that depends on time.
 *
 * @param atMillis the current time, in milliseconds of the entry's monotonic clock
 * @param random random number for choices that should differ between entries
 */
public record Tick(long atMillis, long random) implements Event {}

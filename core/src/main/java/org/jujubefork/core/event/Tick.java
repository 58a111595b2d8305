package org.jujubefork.core.event;

/**
 * Time has passed.
 *
 * @param atMillis the time, in milliseconds of the entry's monotonic clock
 * @param random a random number, for choices that should differ between entries
 */
public record Tick(long atMillis, long random) implements Event {}

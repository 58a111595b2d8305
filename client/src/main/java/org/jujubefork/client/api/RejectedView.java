package org.jujubefork.client.api;

/**
 * Placements that were considered and rejected.
 *
 * @param reason why, such as no free memory
 * @param count how many workers were rejected for it
 */
public record RejectedView(String reason, int count) {}

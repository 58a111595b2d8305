package org.jujubefork.client.api;

/**
 * Number of placements that were considered and rejected for one reason.
 *
 * @param reason reason for the rejection, such as {@code no free memory}
 * @param count number of workers rejected for this reason
 */
public record RejectedView(String reason, int count) {}

package org.jujubefork.client.api;

/**
 * Response to {@code POST /v1/admin/drain}.
 *
 * @param entry entry that is draining
 * @param state {@code leaving}
 * @param openRequests number of accepted requests without a response
 */
public record DrainView(String entry, String state, int openRequests) {}

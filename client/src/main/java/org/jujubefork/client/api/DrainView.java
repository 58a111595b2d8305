package org.jujubefork.client.api;

/**
 * The answer to {@code POST /v1/admin/drain}.
 *
 * @param entry the entry that leaves
 * @param state leaving
 * @param openRequests accepted requests that are not answered yet
 */
public record DrainView(String entry, String state, int openRequests) {}

package org.jujubefork.core.workflow;

/**
 * The operators' request to evacuate a zone, as a read of the store has shown it.
 *
 * @param revision the store revision of the request
 * @param readable whether its value has the expected format
 */
public record EvacuationRequest(long revision, boolean readable) {}

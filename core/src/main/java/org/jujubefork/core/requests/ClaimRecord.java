package org.jujubefork.core.requests;

import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.RequestId;

/**
 * The stored claim of a non-idempotent request.
 *
 * @param request the request that holds the claim; distinguishes it from claims of other requests
 *     with the same idempotency key
 * @param entry the entry that wrote the claim, with its incarnation
 * @param state what is known of the outcome of the request
 */
public record ClaimRecord(RequestId request, EntryId entry, ClaimState state) {}

package org.jujubefork.core.requests;

import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.RequestId;

/**
 * The claim of a non-idempotent request as it stands in the store.
 *
 * @param request the request that holds the claim; serves as the nonce
 * @param entry the entry run that wrote it
 * @param state what is known
 */
public record ClaimRecord(RequestId request, EntryId entry, ClaimState state) {}

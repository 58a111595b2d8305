package org.jujubefork.core.requests;

/** What a claim in the store says about its request. */
public enum ClaimState {
    /** The request may be started by the entry that wrote the claim. */
    CLAIMED,
    /** The request ran; its answer is kept with the claim if it is not too large. */
    DONE,
    /** A start may have taken effect, but the answer is not known. */
    UNKNOWN
}

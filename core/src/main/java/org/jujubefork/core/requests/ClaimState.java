package org.jujubefork.core.requests;

/** The state of the request of a claim, as stored. */
public enum ClaimState {
    /** The request may be started by the entry that wrote the claim. */
    CLAIMED,
    /** The request ran; its answer is stored with the claim if it is not too large. */
    DONE,
    /** The request may have run, but its outcome is unknown. */
    UNKNOWN
}

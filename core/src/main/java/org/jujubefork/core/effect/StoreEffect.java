package org.jujubefork.core.effect;

import org.jujubefork.core.jobs.JobRecord;
import org.jujubefork.core.limits.Ledger;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.requests.ClaimRecord;
import org.jujubefork.core.requests.ClaimState;

/** Writes to the platform's store. */
public sealed interface StoreEffect extends Effect {
    /**
     * Create the claim of a request if no claim exists; read it back if the answer is lost.
     *
     * @param request the request
     * @param claimKey the key in the store
     * @param claim the record
     */
    record CreateClaim(RequestId request, String claimKey, ClaimRecord claim)
            implements StoreEffect {}

    /**
     * Read the claim of another request again; the answer is {@code ClaimExists}, {@code ClaimGone}
     * or {@code ClaimFailed}.
     *
     * @param request the request that waits
     * @param claimKey the key in the store
     */
    record ReadClaim(RequestId request, String claimKey) implements StoreEffect {}

    /**
     * Record the outcome in a claim of this entry, with the answer body if it is done and not too
     * large.
     *
     * @param request the request
     * @param claimKey the key in the store
     * @param claim the record with its new state
     */
    record SettleClaim(RequestId request, String claimKey, ClaimRecord claim)
            implements StoreEffect {
        /** Checks that the state is an outcome. */
        public SettleClaim {
            if (claim.state() == ClaimState.CLAIMED) {
                throw new IllegalArgumentException(
                        "a claim is settled as done or unknown: " + claim);
            }
        }
    }

    /**
     * Remove a claim of this entry, because the request did not run.
     *
     * @param request the request
     * @param claimKey the key in the store
     */
    record ReleaseClaim(RequestId request, String claimKey) implements StoreEffect {}

    /**
     * Write a job record by compare-and-swap.
     *
     * @param expectedRevision the revision that the store must hold; 0 if the record must not exist
     * @param record the record
     */
    record WriteJob(long expectedRevision, JobRecord record) implements StoreEffect {}

    /**
     * Remove the record of a job that ended long ago, if the store still holds this revision.
     *
     * @param expectedRevision the revision that the store must hold
     * @param job the job
     */
    record DeleteJob(long expectedRevision, JobId job) implements StoreEffect {}

    /**
     * Write the ledger by compare-and-swap.
     *
     * @param expectedRevision the revision that the store must hold; 0 if the ledger must not exist
     * @param ledger the ledger
     */
    record WriteLedger(long expectedRevision, Ledger ledger) implements StoreEffect {}

    /** Read the ledger, because this entry's copy is out of date. */
    record ReadLedger() implements StoreEffect {}
}

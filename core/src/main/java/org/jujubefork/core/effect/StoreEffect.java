package org.jujubefork.core.effect;

import org.jujubefork.core.jobs.JobRecord;
import org.jujubefork.core.limits.Ledger;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.requests.ClaimRecord;
import org.jujubefork.core.requests.ClaimState;

/** Reads and writes of claims, job records and the ledger in the platform's store. */
public sealed interface StoreEffect extends Effect {
    /**
     * Creates the claim of a request if none exists under its key. If the store's answer is lost,
     * the claim is read back.
     *
     * @param request identifier of the request
     * @param claimKey the key of the claim in the store
     * @param claim the claim to write
     */
    record CreateClaim(RequestId request, String claimKey, ClaimRecord claim)
            implements StoreEffect {}

    /**
     * Reads again the claim of another request that has the same idempotency key. The resulting
     * event is {@code ClaimExists}, {@code ClaimGone} or {@code ClaimFailed}.
     *
     * @param request identifier of the request that waits for the outcome of the other request
     * @param claimKey the key of the claim in the store
     */
    record ReadClaim(RequestId request, String claimKey) implements StoreEffect {}

    /**
     * Records the outcome in a claim of this entry, with the answer body if the request completed
     * and the body is not too large.
     *
     * @param request identifier of the request
     * @param claimKey the key of the claim in the store
     * @param claim the claim with its final state
     */
    record SettleClaim(RequestId request, String claimKey, ClaimRecord claim)
            implements StoreEffect {
        /** Checks that the claim has a final state. */
        public SettleClaim {
            if (claim.state() == ClaimState.CLAIMED) {
                throw new IllegalArgumentException(
                        "a claim must be settled as DONE or UNKNOWN: " + claim);
            }
        }
    }

    /**
     * Deletes a claim of this entry, because the request did not run.
     *
     * @param request identifier of the request
     * @param claimKey the key of the claim in the store
     */
    record ReleaseClaim(RequestId request, String claimKey) implements StoreEffect {}

    /**
     * Writes a job record by compare-and-swap.
     *
     * @param expectedRevision the revision that the store must have; 0 if the record must not exist
     * @param record the job record to write
     */
    record WriteJob(long expectedRevision, JobRecord record) implements StoreEffect {}

    /**
     * Deletes the record of a job whose retention period is over, if its revision in the store is
     * unchanged.
     *
     * @param expectedRevision the revision that the store must have
     * @param job identifier of the job
     */
    record DeleteJob(long expectedRevision, JobId job) implements StoreEffect {}

    /**
     * Writes the ledger by compare-and-swap.
     *
     * @param expectedRevision the revision that the store must have; 0 if the ledger must not exist
     * @param ledger the ledger to write
     */
    record WriteLedger(long expectedRevision, Ledger ledger) implements StoreEffect {}

    /** Reads the ledger, because this entry's copy is out of date. */
    record ReadLedger() implements StoreEffect {}
}

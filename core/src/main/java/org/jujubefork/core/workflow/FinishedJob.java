package org.jujubefork.core.workflow;

/**
 * A job that has ended, kept for status queries of callers.
 *
 * @param id its identifier
 * @param queue its queue
 * @param status its final status
 * @param endedAtWallMillis when it ended, in Unix milliseconds
 */
public record FinishedJob(String id, String queue, Job.Status status, long endedAtWallMillis) {
    /**
     * Length of a time slice. All jobs that end in the same time slice share one record in the
     * store.
     */
    private static final long BUCKET_MILLIS = 2_000;

    /** Returns the number of the store record that holds this job. */
    public long bucket() {
        return bucketOf(endedAtWallMillis);
    }

    /** Returns the number of the store record for jobs that end at {@code wallMillis}. */
    static long bucketOf(long wallMillis) {
        return wallMillis / BUCKET_MILLIS;
    }
}

package org.jujubefork.core.workflow;

/**
 * A job that has ended, remembered for callers that ask.
 *
 * @param id its identifier
 * @param queue its queue
 * @param status how it ended
 * @param endedAtWallMillis when it ended, in Unix milliseconds
 */
public record FinishedJob(String id, String queue, Job.Status status, long endedAtWallMillis) {
    /** Jobs that end in the same time of this length share a record in the store. */
    private static final long BUCKET_MILLIS = 2_000;

    /** Returns the number of the store's record that holds it. */
    public long bucket() {
        return bucketOf(endedAtWallMillis);
    }

    /** Returns the number of the record for jobs that end at {@code wallMillis}. */
    static long bucketOf(long wallMillis) {
        return wallMillis / BUCKET_MILLIS;
    }
}

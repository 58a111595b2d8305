package org.jujubefork.core.requests;

import java.util.Optional;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.placement.WorkQueue;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * Pending store calls for claims: unconfirmed writes and repeated reads.
 *
 * @param writes writes of outcomes and releases that the store has not confirmed, by request
 * @param writeDueTimes when failed writes are retried, ordered by time
 * @param readCounts how often the claim of another request with the same idempotency key was read
 *     again, by the request that waits for it
 * @param readDueTimes when the next reads are due
 */
record PendingClaims(
        PSortedMap<RequestId, Write> writes,
        PSortedSet<WorkQueue.Deadline> writeDueTimes,
        PSortedMap<RequestId, Integer> readCounts,
        PSortedSet<WorkQueue.Deadline> readDueTimes) {
    /** No pending calls. */
    static final PendingClaims NONE =
            new PendingClaims(
                    TreePMap.empty(), TreePSet.empty(), TreePMap.empty(), TreePSet.empty());

    /**
     * Maximum number of times that a waiting request reads the claim of the other request again.
     */
    static final int MAX_READS = 30;

    private static final long INITIAL_WRITE_BACKOFF_MILLIS = 1_000;
    private static final long MAX_WRITE_BACKOFF_MILLIS = 60_000;
    private static final long INITIAL_READ_BACKOFF_MILLIS = 100;
    private static final long MAX_READ_BACKOFF_MILLIS = 5_000;
    private static final int MAX_DOUBLINGS = 6;

    /**
     * A write of an outcome to a claim, or the release of a claim.
     *
     * @param key the store key of the claim
     * @param outcome the claim record with the outcome; empty for a release
     * @param failedAttempts the number of failed attempts to write it
     */
    record Write(String key, Optional<ClaimRecord> outcome, int failedAttempts) {}

    PendingClaims withWrite(RequestId request, String key, Optional<ClaimRecord> outcome) {
        return new PendingClaims(
                writes.plus(request, new Write(key, outcome, 0)),
                writeDueTimes,
                readCounts,
                readDueTimes);
    }

    PendingClaims withoutWrite(RequestId request) {
        return new PendingClaims(writes.minus(request), writeDueTimes, readCounts, readDueTimes);
    }

    /**
     * Returns these calls with a retry scheduled after a failed write. The backoff doubles with
     * each failure. Half of it is jitter that depends on the request, so that writes are spread
     * when the store is available again after an outage.
     */
    PendingClaims withFailedWrite(RequestId request, long nowMillis) {
        Write write = writes.get(request);
        if (write == null) {
            return this;
        }
        long backoff =
                Math.min(
                        MAX_WRITE_BACKOFF_MILLIS,
                        INITIAL_WRITE_BACKOFF_MILLIS
                                << Math.min(write.failedAttempts(), MAX_DOUBLINGS));
        long jitter =
                Math.floorMod(
                        request.value().hashCode() * 31L + write.failedAttempts(), backoff / 2);
        Write failedWrite = new Write(write.key(), write.outcome(), write.failedAttempts() + 1);
        return new PendingClaims(
                writes.plus(request, failedWrite),
                writeDueTimes.plus(
                        new WorkQueue.Deadline(nowMillis + backoff / 2 + jitter, request)),
                readCounts,
                readDueTimes);
    }

    PendingClaims withoutDueWrite(WorkQueue.Deadline due) {
        return new PendingClaims(writes, writeDueTimes.minus(due), readCounts, readDueTimes);
    }

    /**
     * Returns these calls with the next read of the claim scheduled for {@code request}, unless
     * {@link #MAX_READS} is reached. The backoff doubles with each read.
     */
    PendingClaims withNextRead(RequestId request, long nowMillis) {
        int readCount = readCounts.getOrDefault(request, 0);
        if (readCount >= MAX_READS) {
            return this;
        }
        long backoff =
                Math.min(
                        MAX_READ_BACKOFF_MILLIS,
                        INITIAL_READ_BACKOFF_MILLIS << Math.min(readCount, MAX_DOUBLINGS));
        return new PendingClaims(
                writes,
                writeDueTimes,
                readCounts.plus(request, readCount + 1),
                readDueTimes.plus(new WorkQueue.Deadline(nowMillis + backoff, request)));
    }

    PendingClaims withoutDueRead(WorkQueue.Deadline due) {
        return new PendingClaims(writes, writeDueTimes, readCounts, readDueTimes.minus(due));
    }

    PendingClaims withoutReads(RequestId request) {
        return readCounts.containsKey(request)
                ? new PendingClaims(writes, writeDueTimes, readCounts.minus(request), readDueTimes)
                : this;
    }
}

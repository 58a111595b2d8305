package org.jujubefork.core.requests;

import java.util.Optional;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.placement.WorkQueue;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * Work on claims that the store has not confirmed.
 *
 * @param writes outcomes and releases that have not been confirmed
 * @param writesDue when those are written again whose last attempt has ended
 * @param readCounts how often the claim of another request was read again, by waiting request
 * @param readsDue when claims are read again
 */
record PendingClaims(
        PSortedMap<RequestId, Write> writes,
        PSortedSet<WorkQueue.Deadline> writesDue,
        PSortedMap<RequestId, Integer> readCounts,
        PSortedSet<WorkQueue.Deadline> readsDue) {
    /** Nothing is pending. */
    static final PendingClaims NONE =
            new PendingClaims(
                    TreePMap.empty(), TreePSet.empty(), TreePMap.empty(), TreePSet.empty());

    /** How often the claim of another request is read again at most. */
    static final int MAX_READS = 30;

    private static final long INITIAL_WRITE_BACKOFF_MILLIS = 1_000;
    private static final long MAX_WRITE_BACKOFF_MILLIS = 60_000;
    private static final long INITIAL_READ_BACKOFF_MILLIS = 100;
    private static final long MAX_READ_BACKOFF_MILLIS = 5_000;
    private static final int MAX_DOUBLINGS = 6;

    /**
     * An outcome or release to be written.
     *
     * @param key the key of the claim
     * @param outcome the record; empty for a release
     * @param failedAttempts failed attempts
     */
    record Write(String key, Optional<ClaimRecord> outcome, int failedAttempts) {}

    PendingClaims withWrite(RequestId request, String key, Optional<ClaimRecord> outcome) {
        return new PendingClaims(
                writes.plus(request, new Write(key, outcome, 0)), writesDue, readCounts, readsDue);
    }

    PendingClaims withoutWrite(RequestId request) {
        return new PendingClaims(writes.minus(request), writesDue, readCounts, readsDue);
    }

    /**
     * Returns this after an attempt to write failed. The pause doubles, and half of it depends on
     * the request, so that writes are spread when the store returns after an outage.
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
        Write failed = new Write(write.key(), write.outcome(), write.failedAttempts() + 1);
        return new PendingClaims(
                writes.plus(request, failed),
                writesDue.plus(new WorkQueue.Deadline(nowMillis + backoff / 2 + jitter, request)),
                readCounts,
                readsDue);
    }

    PendingClaims withoutDueWrite(WorkQueue.Deadline due) {
        return new PendingClaims(writes, writesDue.minus(due), readCounts, readsDue);
    }

    /** Returns this with another read of a claim due, unless it was read often enough. */
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
                writesDue,
                readCounts.plus(request, readCount + 1),
                readsDue.plus(new WorkQueue.Deadline(nowMillis + backoff, request)));
    }

    PendingClaims withoutDueRead(WorkQueue.Deadline due) {
        return new PendingClaims(writes, writesDue, readCounts, readsDue.minus(due));
    }

    PendingClaims withoutReads(RequestId request) {
        return readCounts.containsKey(request)
                ? new PendingClaims(writes, writesDue, readCounts.minus(request), readsDue)
                : this;
    }
}

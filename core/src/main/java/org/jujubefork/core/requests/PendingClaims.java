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
 * @param reads how often the claim of another request was read again, by waiting request
 * @param readsDue when claims are read again
 */
record PendingClaims(
        PSortedMap<RequestId, Write> writes,
        PSortedSet<WorkQueue.Deadline> writesDue,
        PSortedMap<RequestId, Integer> reads,
        PSortedSet<WorkQueue.Deadline> readsDue) {
    /** Nothing is pending. */
    static final PendingClaims NONE =
            new PendingClaims(
                    TreePMap.empty(), TreePSet.empty(), TreePMap.empty(), TreePSet.empty());

    /** How often the claim of another request is read again at most. */
    static final int MAX_READS = 30;

    private static final long FIRST_WRITE_PAUSE_MILLIS = 1_000;
    private static final long LONGEST_WRITE_PAUSE_MILLIS = 60_000;
    private static final long FIRST_READ_PAUSE_MILLIS = 100;
    private static final long LONGEST_READ_PAUSE_MILLIS = 5_000;
    private static final int MAX_DOUBLINGS = 6;

    /**
     * An outcome or release to be written.
     *
     * @param key the key of the claim
     * @param outcome the record; empty for a release
     * @param attempts failed attempts
     */
    record Write(String key, Optional<ClaimRecord> outcome, int attempts) {}

    PendingClaims writing(RequestId request, String key, Optional<ClaimRecord> outcome) {
        return new PendingClaims(
                writes.plus(request, new Write(key, outcome, 0)), writesDue, reads, readsDue);
    }

    PendingClaims written(RequestId request) {
        return new PendingClaims(writes.minus(request), writesDue, reads, readsDue);
    }

    /**
     * Returns this after an attempt to write failed. The pause doubles, and half of it depends on
     * the request, so that writes are spread when the store returns after an outage.
     */
    PendingClaims notWritten(RequestId request, long nowMillis) {
        Write write = writes.get(request);
        if (write == null) {
            return this;
        }
        long pause =
                Math.min(
                        LONGEST_WRITE_PAUSE_MILLIS,
                        FIRST_WRITE_PAUSE_MILLIS << Math.min(write.attempts(), MAX_DOUBLINGS));
        long spread = Math.floorMod(request.value().hashCode() * 31L + write.attempts(), pause / 2);
        Write failed = new Write(write.key(), write.outcome(), write.attempts() + 1);
        return new PendingClaims(
                writes.plus(request, failed),
                writesDue.plus(new WorkQueue.Deadline(nowMillis + pause / 2 + spread, request)),
                reads,
                readsDue);
    }

    PendingClaims withoutDueWrite(WorkQueue.Deadline due) {
        return new PendingClaims(writes, writesDue.minus(due), reads, readsDue);
    }

    /** Returns this with another read of a claim due, unless it was read often enough. */
    PendingClaims readLater(RequestId request, long nowMillis) {
        int done = reads.getOrDefault(request, 0);
        if (done >= MAX_READS) {
            return this;
        }
        long pause =
                Math.min(
                        LONGEST_READ_PAUSE_MILLIS,
                        FIRST_READ_PAUSE_MILLIS << Math.min(done, MAX_DOUBLINGS));
        return new PendingClaims(
                writes,
                writesDue,
                reads.plus(request, done + 1),
                readsDue.plus(new WorkQueue.Deadline(nowMillis + pause, request)));
    }

    PendingClaims withoutDueRead(WorkQueue.Deadline due) {
        return new PendingClaims(writes, writesDue, reads, readsDue.minus(due));
    }

    PendingClaims withoutReads(RequestId request) {
        return reads.containsKey(request)
                ? new PendingClaims(writes, writesDue, reads.minus(request), readsDue)
                : this;
    }
}

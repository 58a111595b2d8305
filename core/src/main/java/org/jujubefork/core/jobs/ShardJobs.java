package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.JobId;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * The jobs of a shard that this entry owns.
 *
 * @param epoch the authority under which this is known
 * @param settled whether no task can run in the shard that this owner does not know of
 * @param parts what is known by job
 * @param refill jobs for which more tasks may have to be queued, by the time of their submission
 * @param delayed failed tasks that wait before they are queued again
 * @param closing ended jobs of which tasks may still be queued or running
 * @param closingAt the same by job
 * @param move the move of unstarted tasks that is under way
 * @param movedAtMillis when the newest move began
 */
public record ShardJobs(
        Epoch epoch,
        boolean settled,
        PSortedMap<JobId, PartState> parts,
        PSortedSet<DueJob> refill,
        PSortedSet<DelayedTask> delayed,
        PSortedSet<DueJob> closing,
        PSortedMap<JobId, Long> closingAt,
        Optional<Move> move,
        long movedAtMillis) {
    static ShardJobs of(Epoch epoch, PSortedSet<DueJob> jobs) {
        return new ShardJobs(
                epoch,
                false,
                TreePMap.empty(),
                jobs,
                TreePSet.empty(),
                TreePSet.empty(),
                TreePMap.empty(),
                Optional.empty(),
                Long.MIN_VALUE / 2);
    }

    /** Returns what is known of {@code job} in the shard. */
    public PartState part(JobId job) {
        PartState part = parts.get(job);
        return part == null ? PartState.EMPTY : part;
    }

    ShardJobs with(JobId job, PartState part) {
        return withParts(parts.plus(job, part));
    }

    ShardJobs without(JobId job) {
        return withParts(parts.minus(job));
    }

    private ShardJobs withParts(PSortedMap<JobId, PartState> value) {
        return new ShardJobs(
                epoch, settled, value, refill, delayed, closing, closingAt, move, movedAtMillis);
    }

    ShardJobs asSettled() {
        return new ShardJobs(
                epoch, true, parts, refill, delayed, closing, closingAt, move, movedAtMillis);
    }

    ShardJobs withRefill(PSortedSet<DueJob> value) {
        return new ShardJobs(
                epoch, settled, parts, value, delayed, closing, closingAt, move, movedAtMillis);
    }

    ShardJobs refilling(DueJob job) {
        return withRefill(refill.plus(job));
    }

    ShardJobs withDelayed(PSortedSet<DelayedTask> value) {
        return new ShardJobs(
                epoch, settled, parts, refill, value, closing, closingAt, move, movedAtMillis);
    }

    /** Returns these jobs with {@code job} closed at the earlier of both times. */
    ShardJobs closing(JobId job, long atMillis) {
        Long known = closingAt.get(job);
        if (known != null && known <= atMillis) {
            return this;
        }
        PSortedSet<DueJob> others = known == null ? closing : closing.minus(new DueJob(known, job));
        return withClosing(others.plus(new DueJob(atMillis, job)), closingAt.plus(job, atMillis));
    }

    ShardJobs withoutClosing(DueJob due) {
        return withClosing(closing.minus(due), closingAt.minus(due.job()));
    }

    private ShardJobs withClosing(PSortedSet<DueJob> value, PSortedMap<JobId, Long> byJob) {
        return new ShardJobs(
                epoch, settled, parts, refill, delayed, value, byJob, move, movedAtMillis);
    }

    ShardJobs withMove(Optional<Move> value, long atMillis) {
        return new ShardJobs(
                epoch, settled, parts, refill, delayed, closing, closingAt, value, atMillis);
    }
}

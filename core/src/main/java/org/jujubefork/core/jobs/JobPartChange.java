package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.model.ShardId;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * A change of the parts of a job: a step in moving tasks that were not started.
 *
 * @param shard the shard that holds the tasks
 * @param from the first task index
 * @param to the index after the last one
 * @param expectedTarget the announced target that the part must show; empty for none
 * @param newShard the shard that holds the tasks afterwards
 * @param newTarget the announced target afterwards; empty if the move is over
 * @param requiredRevision the only revision of the record to which this applies; 0 for any
 */
public record JobPartChange(
        ShardId shard,
        int from,
        int to,
        Optional<ShardId> expectedTarget,
        ShardId newShard,
        Optional<ShardId> newTarget,
        long requiredRevision) {
    /**
     * Returns {@code record} with this change, or as it is if the tasks are no longer in one part.
     */
    JobRecord applyTo(JobRecord record) {
        PVector<JobPart> parts = TreePVector.empty();
        boolean found = false;
        for (JobPart part : record.parts()) {
            boolean matches =
                    part.shard().equals(shard)
                            && part.movingTo().equals(expectedTarget)
                            && part.from() <= from
                            && to <= part.to();
            if (!matches) {
                parts = parts.plus(part);
                continue;
            }
            found = true;
            if (part.from() < from) {
                parts = parts.plus(new JobPart(shard, part.from(), from, part.movingTo()));
            }
            parts = parts.plus(new JobPart(newShard, from, to, newTarget));
            if (to < part.to()) {
                parts = parts.plus(new JobPart(shard, to, part.to(), part.movingTo()));
            }
        }
        return found && !record.state().isFinal() ? record.withParts(mergeAdjacent(parts)) : record;
    }

    /** Returns whether {@code stored} shows this change, or can no longer get it. */
    boolean isResolved(StoredJob stored) {
        JobRecord record = stored.record();
        return (requiredRevision != 0 && requiredRevision != stored.revision())
                || applyTo(record).parts().equals(record.parts());
    }

    private static PVector<JobPart> mergeAdjacent(PVector<JobPart> parts) {
        PVector<JobPart> result = TreePVector.empty();
        for (JobPart part : parts) {
            JobPart last = result.isEmpty() ? null : result.get(result.size() - 1);
            boolean adjacent =
                    last != null
                            && last.shard().equals(part.shard())
                            && last.movingTo().equals(part.movingTo())
                            && last.to() == part.from();
            result =
                    adjacent
                            ? result.with(
                                    result.size() - 1,
                                    new JobPart(
                                            part.shard(), last.from(), part.to(), part.movingTo()))
                            : result.plus(part);
        }
        return result;
    }
}

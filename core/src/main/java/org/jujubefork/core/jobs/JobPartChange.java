package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.model.ShardId;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * A change of the parts of a job: one step of a task migration.
 *
 * @param shard the shard that the tasks are assigned to before the change
 * @param from the first task index
 * @param to the index after the last task
 * @param expectedTarget the migration target that the part must have before the change; empty for
 *     none
 * @param newShard the shard that the tasks are assigned to after the change
 * @param newTarget the migration target after the change; empty for none
 * @param requiredRevision the revision of the record that the change applies to; 0 for any
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
     * Returns {@code record} with this change; unchanged if the job has ended or no part of it
     * contains all the tasks and has the expected target.
     */
    JobRecord applyTo(JobRecord record) {
        PVector<JobPart> parts = TreePVector.empty();
        boolean isFound = false;
        for (JobPart part : record.parts()) {
            boolean isMatch =
                    part.shard().equals(shard)
                            && part.movingTo().equals(expectedTarget)
                            && part.from() <= from
                            && to <= part.to();
            if (!isMatch) {
                parts = parts.plus(part);
                continue;
            }
            isFound = true;
            if (part.from() < from) {
                parts = parts.plus(new JobPart(shard, part.from(), from, part.movingTo()));
            }
            parts = parts.plus(new JobPart(newShard, from, to, newTarget));
            if (to < part.to()) {
                parts = parts.plus(new JobPart(shard, to, part.to(), part.movingTo()));
            }
        }
        return isFound && !record.state().isFinal()
                ? record.withParts(mergeAdjacent(parts))
                : record;
    }

    /** Returns whether {@code stored} includes this change, or the change can no longer apply. */
    boolean isResolved(StoredJob stored) {
        JobRecord record = stored.record();
        return (requiredRevision != 0 && requiredRevision != stored.revision())
                || applyTo(record).parts().equals(record.parts());
    }

    private static PVector<JobPart> mergeAdjacent(PVector<JobPart> parts) {
        PVector<JobPart> result = TreePVector.empty();
        for (JobPart part : parts) {
            JobPart previous = result.isEmpty() ? null : result.get(result.size() - 1);
            boolean isAdjacent =
                    previous != null
                            && previous.shard().equals(part.shard())
                            && previous.movingTo().equals(part.movingTo())
                            && previous.to() == part.from();
            result =
                    isAdjacent
                            ? result.with(
                                    result.size() - 1,
                                    new JobPart(
                                            part.shard(),
                                            previous.from(),
                                            part.to(),
                                            part.movingTo()))
                            : result.plus(part);
        }
        return result;
    }
}

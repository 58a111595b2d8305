package org.jujubefork.core.jobs;

import java.util.Optional;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.pcollections.PSortedMap;
import org.pcollections.PSortedSet;
import org.pcollections.PVector;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * A job as it stands in the store.
 *
 * @param definition what was submitted
 * @param state its state
 * @param reason why it failed or cannot run; empty otherwise
 * @param parts which shard runs which tasks
 * @param succeeded indexes of tasks that succeeded
 * @param failedAttempts failed attempts by task index; a gang counts its failed runs under index 0
 * @param run the current run of a gang, from 1; {@code succeeded} belongs to this run. Other kinds
 *     stay at 1
 * @param progress the part that checkpointed tasks have done, from 0 to 1, by task index
 */
public record JobRecord(
        JobDefinition definition,
        JobState state,
        String reason,
        PVector<JobPart> parts,
        PSortedSet<Integer> succeeded,
        PSortedMap<Integer, Integer> failedAttempts,
        int run,
        PSortedMap<Integer, Double> progress) {
    /** Checks the run. */
    public JobRecord {
        if (run < 1) {
            throw new IllegalArgumentException(
                    "run of job " + definition.id() + " must be at least 1: " + run);
        }
    }

    /** Returns the first record of a job, of which nothing has run. */
    public static JobRecord submitted(JobDefinition definition, PVector<JobPart> parts) {
        return new JobRecord(
                definition,
                JobState.ACTIVE,
                "",
                parts,
                TreePSet.empty(),
                TreePMap.empty(),
                1,
                TreePMap.empty());
    }

    /** Returns the job. */
    public JobId id() {
        return definition.id();
    }

    /** Returns the team that is charged. */
    public TeamId team() {
        return definition.team();
    }

    /** Returns the queue. */
    public QueueId queue() {
        return definition.queue();
    }

    /** Returns batch, service or gang. */
    public WorkKind kind() {
        return definition.kind();
    }

    /** Returns a name for people. */
    public String name() {
        return definition.name();
    }

    /** Returns how many tasks or replicas it has. */
    public int tasks() {
        return definition.tasks();
    }

    /** Returns the size of one task. */
    public Resources size() {
        return definition.size();
    }

    /** Returns the input of the tasks. */
    public String payload() {
        return definition.payload();
    }

    /** Returns when it was accepted, in milliseconds since 1970 by the accepting entry's clock. */
    public long submittedAtEpochMillis() {
        return definition.submittedAtEpochMillis();
    }

    /** Returns how many attempts of the task {@code index} failed. */
    public int failedAttempts(int index) {
        Integer failed = failedAttempts.get(index);
        return failed == null ? 0 : failed;
    }

    /** Returns the part that holds the task {@code index}, if there is one. */
    public Optional<JobPart> part(int index) {
        return parts.stream().filter(p -> p.contains(index)).findFirst();
    }

    /** Returns whether {@code shard} runs any of the tasks. */
    public boolean isAssignedTo(ShardId shard) {
        return parts.stream().anyMatch(p -> p.shard().equals(shard));
    }

    /** Returns whether {@code shard} may start the task {@code index}. */
    public boolean isStartableIn(ShardId shard, int index) {
        return part(index)
                .map(p -> p.shard().equals(shard) && p.movingTo().isEmpty())
                .orElse(false);
    }

    JobRecord withParts(PVector<JobPart> value) {
        return new JobRecord(
                definition, state, reason, value, succeeded, failedAttempts, run, progress);
    }

    JobRecord withState(JobState value, String why) {
        return new JobRecord(
                definition, value, why, parts, succeeded, failedAttempts, run, progress);
    }

    JobRecord withSucceeded(PSortedSet<Integer> value) {
        return new JobRecord(
                definition, state, reason, parts, value, failedAttempts, run, progress);
    }

    JobRecord withFailedAttempts(PSortedMap<Integer, Integer> value) {
        return new JobRecord(definition, state, reason, parts, succeeded, value, run, progress);
    }

    JobRecord withProgress(PSortedMap<Integer, Double> value) {
        return new JobRecord(
                definition, state, reason, parts, succeeded, failedAttempts, run, value);
    }

    JobRecord withRun(int value) {
        return new JobRecord(
                definition, state, reason, parts, succeeded, failedAttempts, value, progress);
    }
}

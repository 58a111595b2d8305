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
 * The state of a job as it is written to the store.
 *
 * @param definition the immutable properties of the job
 * @param state the state of the job as a whole
 * @param reason why the job failed or was cancelled; empty otherwise
 * @param parts the ranges of tasks, each with the shard that runs them
 * @param succeeded indexes of tasks that succeeded
 * @param failedAttempts the number of failed attempts by task index; a gang counts its failed runs
 *     under index 0
 * @param run the number of the current run of a gang, from 1; {@code succeeded} refers to this run.
 *     1 for other kinds
 * @param progress the completed fraction of checkpointed tasks, from 0 to 1, by task index
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
    /** Throws {@code IllegalArgumentException} if {@code run} is below 1. */
    public JobRecord {
        if (run < 1) {
            throw new IllegalArgumentException(
                    "run of job " + definition.id() + " must be at least 1: " + run);
        }
    }

    /** Returns the record of a job that was just submitted and of which no task has run. */
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

    /** Returns the id of the job. */
    public JobId id() {
        return definition.id();
    }

    /** Returns the team whose limit and budget the job uses. */
    public TeamId team() {
        return definition.team();
    }

    /** Returns the queue that the job was submitted to. */
    public QueueId queue() {
        return definition.queue();
    }

    /** Returns the kind of work: batch, service or gang. */
    public WorkKind kind() {
        return definition.kind();
    }

    /** Returns the display name; need not be unique. */
    public String name() {
        return definition.name();
    }

    /** Returns the number of tasks, or of replicas of a service; at least 1. */
    public int tasks() {
        return definition.tasks();
    }

    /** Returns the resources that one task needs. */
    public Resources size() {
        return definition.size();
    }

    /** Returns the input that each task gets. */
    public String payload() {
        return definition.payload();
    }

    /**
     * Returns when the job was accepted, in milliseconds since 1970 by the clock of the entry that
     * accepted it.
     */
    public long submittedAtEpochMillis() {
        return definition.submittedAtEpochMillis();
    }

    /** Returns the number of failed attempts of the task {@code index}; 0 if there are none. */
    public int failedAttempts(int index) {
        Integer failedCount = failedAttempts.get(index);
        return failedCount == null ? 0 : failedCount;
    }

    /** Returns the part that contains the task {@code index}; empty if there is none. */
    public Optional<JobPart> part(int index) {
        return parts.stream().filter(p -> p.contains(index)).findFirst();
    }

    /** Returns whether any task of the job is assigned to {@code shard}. */
    public boolean isAssignedTo(ShardId shard) {
        return parts.stream().anyMatch(p -> p.shard().equals(shard));
    }

    /**
     * Returns whether {@code shard} may start the task {@code index}: the task is assigned to it
     * and no move is announced.
     */
    public boolean isStartableIn(ShardId shard, int index) {
        return part(index)
                .map(p -> p.shard().equals(shard) && p.movingTo().isEmpty())
                .orElse(false);
    }

    JobRecord withParts(PVector<JobPart> value) {
        return new JobRecord(
                definition, state, reason, value, succeeded, failedAttempts, run, progress);
    }

    JobRecord withState(JobState value, String newReason) {
        return new JobRecord(
                definition, value, newReason, parts, succeeded, failedAttempts, run, progress);
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

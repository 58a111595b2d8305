package org.jujubefork.core.workflow;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * An accepted job, or one whose acceptance is being stored.
 *
 * @param id its identifier
 * @param queue the name of its queue
 * @param team the team that handed it in; empty on open queues
 * @param definition what was asked for
 * @param status what a caller is told
 * @param stored whether its acceptance is durable
 * @param acceptance when and how it was accepted
 * @param occurrences the occurrences that have become due, by number
 */
public record Job(
        String id,
        String queue,
        String team,
        WorkflowDefinition definition,
        Status status,
        boolean stored,
        Acceptance acceptance,
        PMap<Integer, PVector<StepProgress>> occurrences) {
    /**
     * When and how a job was accepted.
     *
     * @param term the term in which it was accepted
     * @param acceptedAt when it arrived, in milliseconds of the monotonic clock of this entry
     * @param wallMillis when it arrived, in Unix milliseconds
     * @param withinShare whether its team had not used up its share
     */
    public record Acceptance(long term, long acceptedAt, long wallMillis, boolean withinShare) {
        /** Returns this on the monotonic clock of an entry where it is {@code now}. */
        Acceptance onMonotonicClock(long now, long nowWallMillis) {
            long age = Math.max(0, nowWallMillis - wallMillis);
            return new Acceptance(term, now - age, wallMillis, withinShare);
        }
    }

    /** What a caller is told of a job. */
    public enum Status {
        /** Has work left. */
        ACTIVE,
        /** All tasks are done. */
        DONE,
        /** A task has failed too often. */
        FAILED,
        /** Was cancelled. */
        CANCELLED
    }

    /** Returns a new job. */
    public static Job submitted(
            String id,
            String queue,
            String team,
            WorkflowDefinition definition,
            Acceptance acceptance) {
        return new Job(
                id,
                queue,
                team,
                definition,
                Status.ACTIVE,
                false,
                acceptance,
                HashTreePMap.empty());
    }

    /** Returns the term in which it was accepted. */
    public long term() {
        return acceptance.term();
    }

    /** Returns when it arrived, in milliseconds of the monotonic clock of this entry. */
    public long acceptedAt() {
        return acceptance.acceptedAt();
    }

    /** Returns whether the job has work left. */
    public boolean isActive() {
        return status == Status.ACTIVE;
    }

    /** Returns this job with its acceptance stored. */
    public Job asStored() {
        return new Job(id, queue, team, definition, status, true, acceptance, occurrences);
    }

    /** Returns this job with another status. */
    public Job withStatus(Status other) {
        return new Job(id, queue, team, definition, other, stored, acceptance, occurrences);
    }

    /** Returns this job with its acceptance told in other terms. */
    public Job with(Acceptance other) {
        return new Job(id, queue, team, definition, status, stored, other, occurrences);
    }

    private Job withOccurrences(PMap<Integer, PVector<StepProgress>> other) {
        return new Job(id, queue, team, definition, status, stored, acceptance, other);
    }

    /** Returns this job with {@code occurrence} due. */
    public Job withOccurrence(int occurrence) {
        PVector<StepProgress> steps =
                TreePVector.from(definition.steps().stream().map(StepProgress::of).toList());
        return withOccurrences(occurrences.plus(occurrence, steps));
    }

    /** Returns the definition of the step of {@code key}. */
    public StepDefinition step(StepKey key) {
        return definition.steps().get(key.step());
    }

    /** Returns whether the job has the task {@code key}. */
    public boolean hasTask(TaskKey key) {
        return occurrences.containsKey(key.occurrence())
                && key.step() >= 0
                && key.step() < definition.steps().size()
                && key.index() >= 0
                && key.index() < definition.steps().get(key.step()).taskCount();
    }

    /** Returns the progress of {@code key}, which is due. */
    public StepProgress progress(StepKey key) {
        return occurrences.get(key.occurrence()).get(key.step());
    }

    /** Returns the task {@code key}, which is due. */
    public Task task(TaskKey key) {
        return progress(key.stepKey()).tasks().get(key.index());
    }

    /** Returns this job with other progress of a step. */
    public Job with(StepKey key, StepProgress progress) {
        PVector<StepProgress> steps = occurrences.get(key.occurrence()).with(key.step(), progress);
        return withOccurrences(occurrences.plus(key.occurrence(), steps));
    }

    /** Returns this job with another task. */
    public Job with(TaskKey key, Task task) {
        return with(key.stepKey(), progress(key.stepKey()).withTask(key.index(), task));
    }

    /** Returns whether all steps that {@code key} depends on are done. */
    public boolean dependenciesDone(StepKey key) {
        PVector<StepProgress> steps = occurrences.get(key.occurrence());
        return step(key).dependencies().stream().allMatch(s -> steps.get(s).isDone());
    }

    /** Returns whether all occurrences are due and done. */
    public boolean isComplete() {
        return occurrences.size() == definition.occurrenceCount()
                && occurrences.values().stream()
                        .allMatch(steps -> steps.stream().allMatch(StepProgress::isDone));
    }

    /** Returns whether a task of this job has ever been started. */
    public boolean hasStarted() {
        return occurrences.values().stream()
                .flatMap(PVector::stream)
                .flatMap(s -> s.tasks().stream())
                .anyMatch(t -> t.runNumber() > 0 && t.phase() != Task.Phase.ASSIGNED);
    }
}

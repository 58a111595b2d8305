package org.jujubefork.core.workflow;

import java.util.ArrayList;
import java.util.List;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * A job that was accepted, or whose acceptance is being written to the store.
 *
 * @param id its identifier
 * @param queue the name of its queue
 * @param team the team that submitted it; empty on open queues
 * @param definition its steps and schedule
 * @param status the status that callers see
 * @param stored whether its acceptance is durable
 * @param acceptance when and under which conditions it was accepted
 * @param occurrences the progress of the steps of each occurrence that has become due, by index of
 *     the occurrence
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
     * When and under which conditions a job was accepted.
     *
     * @param term the term in which it was accepted
     * @param acceptedAt when it arrived, in milliseconds of the monotonic clock of this entry
     * @param wallMillis when it arrived, in Unix milliseconds
     * @param withinShare whether the team was within its share when the job arrived
     */
    public record Acceptance(long term, long acceptedAt, long wallMillis, boolean withinShare) {
        /**
         * Returns this acceptance with {@code acceptedAt} on the monotonic clock of this entry,
         * whose time is {@code now}.
         */
        Acceptance onLocalClock(long now, long nowWallMillis) {
            long age = Math.max(0, nowWallMillis - wallMillis);
            return new Acceptance(term, now - age, wallMillis, withinShare);
        }
    }

    /** The status of a job. */
    public enum Status {
        /** Has tasks that are not done. */
        ACTIVE,
        /** All tasks are done. */
        DONE,
        /** A task or gang has reached the maximum number of failed runs. */
        FAILED,
        /** Was cancelled by a caller. */
        CANCELLED
    }

    /** Returns a new active job whose acceptance is not stored yet. */
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

    /** Returns the term in which the job was accepted. */
    public long term() {
        return acceptance.term();
    }

    /** Returns when the job arrived, in milliseconds of the monotonic clock of this entry. */
    public long acceptedAt() {
        return acceptance.acceptedAt();
    }

    /**
     * Returns whether the job has tasks that are not done, and was neither cancelled nor failed.
     */
    public boolean isActive() {
        return status == Status.ACTIVE;
    }

    /** Returns a copy whose acceptance is durable. */
    public Job asStored() {
        return new Job(id, queue, team, definition, status, true, acceptance, occurrences);
    }

    /** Returns a copy with {@code other} as the status. */
    public Job withStatus(Status other) {
        return new Job(id, queue, team, definition, other, stored, acceptance, occurrences);
    }

    /** Returns a copy with {@code other} as the acceptance. */
    public Job with(Acceptance other) {
        return new Job(id, queue, team, definition, status, stored, other, occurrences);
    }

    private Job withOccurrences(PMap<Integer, PVector<StepProgress>> other) {
        return new Job(id, queue, team, definition, status, stored, acceptance, other);
    }

    /** Returns a copy in which {@code occurrence} has become due. */
    public Job withOccurrence(int occurrence) {
        PVector<StepProgress> steps =
                TreePVector.from(definition.steps().stream().map(StepProgress::of).toList());
        return withOccurrences(occurrences.plus(occurrence, steps));
    }

    /** Returns the definition of the step of {@code key}. */
    public StepDefinition step(StepKey key) {
        return definition.steps().get(key.step());
    }

    /** Returns whether the job has the task {@code key}, in an occurrence that has become due. */
    public boolean hasTask(TaskKey key) {
        return occurrences.containsKey(key.occurrence())
                && key.step() >= 0
                && key.step() < definition.steps().size()
                && key.index() >= 0
                && key.index() < definition.steps().get(key.step()).taskCount();
    }

    /** Returns the progress of the step {@code key}, whose occurrence must be due. */
    public StepProgress progress(StepKey key) {
        return occurrences.get(key.occurrence()).get(key.step());
    }

    /** Returns the task {@code key}, whose occurrence must be due. */
    public Task task(TaskKey key) {
        return progress(key.stepKey()).tasks().get(key.index());
    }

    /** Returns a copy with {@code progress} as the progress of the step {@code key}. */
    public Job with(StepKey key, StepProgress progress) {
        PVector<StepProgress> steps = occurrences.get(key.occurrence()).with(key.step(), progress);
        return withOccurrences(occurrences.plus(key.occurrence(), steps));
    }

    /** Returns a copy with {@code task} as the task {@code key}. */
    public Job with(TaskKey key, Task task) {
        return with(key.stepKey(), progress(key.stepKey()).withTask(key.index(), task));
    }

    /** Returns whether all steps that {@code key} depends on are done. */
    public boolean areDependenciesDone(StepKey key) {
        PVector<StepProgress> steps = occurrences.get(key.occurrence());
        return step(key).dependencies().stream().allMatch(s -> steps.get(s).isDone());
    }

    /** Returns the steps with waiting tasks whose turn has come. */
    List<StepKey> readySteps() {
        List<StepKey> readySteps = new ArrayList<>();
        for (int occurrence : occurrences.keySet()) {
            PVector<StepProgress> steps = occurrences.get(occurrence);
            for (int i = 0; i < steps.size(); i++) {
                StepKey key = new StepKey(id, occurrence, i);
                if (steps.get(i).hasWaiting() && areDependenciesDone(key)) {
                    readySteps.add(key);
                }
            }
        }
        return readySteps;
    }

    /** Returns the steps with tasks that have capacity and are not started yet. */
    List<StepKey> assignedSteps() {
        List<StepKey> assignedSteps = new ArrayList<>();
        for (int occurrence : occurrences.keySet()) {
            PVector<StepProgress> steps = occurrences.get(occurrence);
            for (int i = 0; i < steps.size(); i++) {
                if (steps.get(i).hasAssigned()) {
                    assignedSteps.add(new StepKey(id, occurrence, i));
                }
            }
        }
        return assignedSteps;
    }

    /** Returns whether all occurrences have become due and are done. */
    public boolean isComplete() {
        return occurrences.size() == definition.occurrenceCount()
                && occurrences.values().stream()
                        .allMatch(steps -> steps.stream().allMatch(StepProgress::isDone));
    }

    /**
     * Returns whether a run of a task of this job was confirmed or may have been carried out. After
     * a takeover only the runs are known that are active or have left a record in the store.
     */
    public boolean hasStarted() {
        return occurrences.values().stream()
                .flatMap(PVector::stream)
                .flatMap(s -> s.tasks().stream())
                .anyMatch(Task::hasStarted);
    }
}

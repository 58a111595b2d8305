package org.jujubefork.core.workflow;

import java.util.List;
import java.util.Map;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The progress of a step of one occurrence.
 *
 * @param tasks its tasks
 * @param gangFailedRuns the runs of the gang that have failed
 * @param readyAt when its dependencies were done, in milliseconds of the monotonic clock; -1 before
 * @param advice what is known of the workers that may run it
 */
public record StepProgress(
        PVector<Task> tasks, FailedRuns gangFailedRuns, long readyAt, AdviceState advice) {
    /**
     * What the advice service has said of a step.
     *
     * @param pending whether a call is queued or under way
     * @param received whether one call has been answered
     * @param requestedWorkers the workers that were asked about
     * @param tickets the workers that may run the step, with their newest ticket
     */
    public record AdviceState(
            boolean pending,
            boolean received,
            PSet<String> requestedWorkers,
            PMap<String, Ticket> tickets) {
        /** Nothing has been asked. */
        public static final AdviceState NONE =
                new AdviceState(false, false, HashTreePSet.empty(), HashTreePMap.empty());

        /** Returns this with a call queued. */
        public AdviceState withPendingRequest() {
            return new AdviceState(true, received, requestedWorkers, tickets);
        }

        /** Returns this after a call without an answer. */
        public AdviceState withFailedRequest() {
            return new AdviceState(false, received, requestedWorkers, tickets);
        }

        /**
         * Returns this after an answer.
         *
         * @param workers the workers that were named in the call
         * @param fresh the tickets of those that may run the step
         */
        public AdviceState withTickets(List<String> workers, Map<String, Ticket> fresh) {
            return new AdviceState(
                    false,
                    true,
                    requestedWorkers.plusAll(workers),
                    tickets.minusAll(workers).plusAll(fresh));
        }

        /** Returns this with the ticket for {@code worker} expired. */
        public AdviceState withExpiredTicket(String worker) {
            Ticket ticket = tickets.get(worker);
            return ticket == null
                    ? this
                    : new AdviceState(
                            pending,
                            received,
                            requestedWorkers,
                            tickets.plus(worker, new Ticket(ticket.token(), 0)));
        }
    }

    /**
     * Permits the start of a step on a worker.
     *
     * @param token the opaque ticket
     * @param validUntil the end of its use in milliseconds of the monotonic clock
     */
    public record Ticket(String token, long validUntil) {}

    /** Returns a step none of whose tasks has been started. */
    public static StepProgress of(StepDefinition definition) {
        PVector<Task> tasks = TreePVector.empty();
        for (int i = 0; i < definition.taskCount(); i++) {
            tasks = tasks.plus(Task.NEW);
        }
        return new StepProgress(tasks, FailedRuns.NONE, -1, AdviceState.NONE);
    }

    /** Returns whether all tasks are done. */
    public boolean isDone() {
        return tasks.stream().allMatch(t -> t.phase() == Task.Phase.DONE);
    }

    /** Returns whether some task waits for a worker. */
    public boolean hasWaiting() {
        return tasks.stream().anyMatch(t -> t.phase() == Task.Phase.WAITING);
    }

    /** Returns this step with another task {@code index}. */
    public StepProgress withTask(int index, Task task) {
        return new StepProgress(tasks.with(index, task), gangFailedRuns, readyAt, advice);
    }

    /** Returns this step with other failures of the gang. */
    public StepProgress withGangFailedRuns(FailedRuns other) {
        return new StepProgress(tasks, other, readyAt, advice);
    }

    /** Returns this step ready since {@code at}. */
    public StepProgress withReadyAt(long at) {
        return new StepProgress(tasks, gangFailedRuns, at, advice);
    }

    /** Returns this step with other knowledge of its workers. */
    public StepProgress withAdvice(AdviceState other) {
        return new StepProgress(tasks, gangFailedRuns, readyAt, other);
    }
}

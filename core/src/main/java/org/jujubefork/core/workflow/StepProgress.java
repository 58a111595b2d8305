package org.jujubefork.core.workflow;

import java.util.Map;
import org.jujubefork.core.workflow.AdviceRequests.Purpose;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The progress of a step in one occurrence of its job, that is one scheduled repetition.
 *
 * @param tasks its tasks, by index
 * @param waitingCount the number of tasks that wait to be placed
 * @param assignedCount the number of tasks that have capacity allocated and are not started yet
 * @param doneCount the number of tasks that have completed successfully
 * @param gangFailedRuns the runs of the gang that have failed
 * @param readyAt when the step was first considered for placement with all of its dependencies
 *     done, in milliseconds of the monotonic clock; -1 until then
 * @param advice the tickets that the advice service has granted so far
 */
public record StepProgress(
        PVector<Task> tasks,
        int waitingCount,
        int assignedCount,
        int doneCount,
        FailedRuns gangFailedRuns,
        long readyAt,
        AdviceState advice) {
    /**
     * The state of the requests to the advice service for a step.
     *
     * @param choicePending whether a request that names further workers is queued or in flight
     * @param renewalPending whether a request that renews tickets is queued or in flight
     * @param nextChoiceAt the earliest time of the next request that names further workers, in
     *     milliseconds of the monotonic clock
     * @param received whether at least one request has been answered
     * @param refusals the incarnations for which the service gave no ticket, by worker; a refusal
     *     is final for an incarnation
     * @param tickets the newest ticket of each worker that may run the step
     */
    public record AdviceState(
            boolean choicePending,
            boolean renewalPending,
            long nextChoiceAt,
            boolean received,
            PMap<String, Long> refusals,
            PMap<String, Ticket> tickets) {
        /** No advice has been requested yet. */
        public static final AdviceState NONE =
                new AdviceState(false, false, 0, false, HashTreePMap.empty(), HashTreePMap.empty());

        /**
         * Returns whether the service gave no ticket for the present incarnation of {@code node}.
         */
        boolean isRefused(WorkerNode node) {
            Long incarnation = refusals.get(node.id());
            return incarnation != null && incarnation == node.contact().born();
        }

        /** Returns a copy with a pending request. */
        public AdviceState withPendingRequest(Purpose purpose) {
            return withPending(purpose, true);
        }

        private AdviceState withPending(Purpose purpose, boolean pending) {
            boolean isRenewal = purpose == Purpose.RENEWAL;
            return new AdviceState(
                    isRenewal ? choicePending : pending,
                    isRenewal ? pending : renewalPending,
                    nextChoiceAt,
                    received,
                    refusals,
                    tickets);
        }

        /** Returns a copy that names no further workers before {@code at}. */
        public AdviceState withNextChoiceAt(long at) {
            return new AdviceState(choicePending, renewalPending, at, received, refusals, tickets);
        }

        /** Returns a copy after a request failed. */
        public AdviceState withFailedRequest(Purpose purpose) {
            return withPending(purpose, false);
        }

        /**
         * Returns a copy after a request was answered.
         *
         * @param incarnations the workers that were named in the request, with their incarnations
         *     when it was sent; 0 for an unknown one, for which the answer refuses nothing
         * @param newTickets the tickets of those workers that may run the step, by worker
         * @param purpose why the tickets were requested
         */
        public AdviceState withTickets(
                Map<String, Long> incarnations, Map<String, Ticket> newTickets, Purpose purpose) {
            AdviceState answered = withPending(purpose, false);
            PMap<String, Long> newRefusals = refusals.minusAll(newTickets.keySet());
            for (Map.Entry<String, Long> named : incarnations.entrySet()) {
                if (!newTickets.containsKey(named.getKey()) && named.getValue() != 0) {
                    newRefusals = newRefusals.plus(named.getKey(), named.getValue());
                }
            }
            return new AdviceState(
                    answered.choicePending,
                    answered.renewalPending,
                    nextChoiceAt,
                    true,
                    newRefusals,
                    tickets.minusAll(incarnations.keySet()).plusAll(newTickets));
        }

        /**
         * Returns a copy in which the ticket for {@code worker} is marked as expired, so that it is
         * renewed before its next use.
         */
        public AdviceState withExpiredTicket(String worker) {
            Ticket ticket = tickets.get(worker);
            return ticket == null
                    ? this
                    : new AdviceState(
                            choicePending,
                            renewalPending,
                            nextChoiceAt,
                            received,
                            refusals,
                            tickets.plus(worker, ticket.expired()));
        }
    }

    /**
     * Permission from the advice service to start tasks of a step on a worker.
     *
     * @param token the opaque text that the start command carries
     * @param validUntil when the ticket expires, in milliseconds of the monotonic clock
     * @param incarnation the incarnation of the worker when the ticket was requested; it is valid
     *     for no other
     */
    public record Ticket(String token, long validUntil, long incarnation) {
        /** Returns whether the present incarnation of {@code node} accepts the ticket. */
        boolean isValidOn(WorkerNode node, long now) {
            return validUntil > now && incarnation == node.contact().born();
        }

        private Ticket expired() {
            return new Ticket(token, 0, incarnation);
        }
    }

    /** Returns the progress of a step none of whose tasks has been started. */
    public static StepProgress of(StepDefinition definition) {
        PVector<Task> tasks = TreePVector.empty();
        for (int i = 0; i < definition.taskCount(); i++) {
            tasks = tasks.plus(Task.NEW);
        }
        return new StepProgress(
                tasks, definition.taskCount(), 0, 0, FailedRuns.NONE, -1, AdviceState.NONE);
    }

    /** Returns whether all tasks have completed successfully. */
    public boolean isDone() {
        return doneCount == tasks.size();
    }

    /** Returns whether at least one task waits to be placed. */
    public boolean hasWaiting() {
        return waitingCount > 0;
    }

    /** Returns whether at least one task has capacity allocated and is not started yet. */
    public boolean hasAssigned() {
        return assignedCount > 0;
    }

    /** Returns a copy with {@code task} at {@code index}. */
    public StepProgress withTask(int index, Task task) {
        Task.Phase previous = tasks.get(index).phase();
        return new StepProgress(
                tasks.with(index, task),
                waitingCount + change(previous, task.phase(), Task.Phase.WAITING),
                assignedCount + change(previous, task.phase(), Task.Phase.ASSIGNED),
                doneCount + change(previous, task.phase(), Task.Phase.DONE),
                gangFailedRuns,
                readyAt,
                advice);
    }

    /** Returns by how much a change of phase changes the number of tasks in {@code counted}. */
    private static int change(Task.Phase from, Task.Phase to, Task.Phase counted) {
        return (to == counted ? 1 : 0) - (from == counted ? 1 : 0);
    }

    /** Returns a copy with {@code other} as the failed runs of the gang. */
    public StepProgress withGangFailedRuns(FailedRuns other) {
        return new StepProgress(
                tasks, waitingCount, assignedCount, doneCount, other, readyAt, advice);
    }

    /**
     * Returns a copy with {@code at} as {@code readyAt}, in milliseconds of the monotonic clock.
     */
    public StepProgress withReadyAt(long at) {
        return new StepProgress(
                tasks, waitingCount, assignedCount, doneCount, gangFailedRuns, at, advice);
    }

    /** Returns a copy with {@code other} as the state of the advice requests. */
    public StepProgress withAdvice(AdviceState other) {
        return new StepProgress(
                tasks, waitingCount, assignedCount, doneCount, gangFailedRuns, readyAt, other);
    }
}

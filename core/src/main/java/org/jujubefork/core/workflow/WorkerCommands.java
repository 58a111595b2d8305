package org.jujubefork.core.workflow;

import java.util.Map;
import org.jujubefork.core.workflow.WorkflowEvent.CommandKind;
import org.jujubefork.core.workflow.WorkflowEvent.CommandOutcome;
import org.jujubefork.core.workflow.WorkflowEvent.WorkerCommand;

/**
 * Sends start and stop commands and handles their results. The capacity of a run stays charged
 * until it is certain that the run is not active: the worker has reported the completion of the
 * run, has rejected its start, or has confirmed a stop and no longer reports the run.
 */
final class WorkerCommands {
    /** How long a worker that rejected a start for lack of capacity or health gets no new tasks. */
    private static final long REFUSAL_QUARANTINE_MILLIS = 1_000;

    /**
     * Time after which a run is stopped whose start command has no outcome. An outcome arrives
     * within {@link WorkflowLimits#START_TIMEOUT_MILLIS}, unless it was lost by a fault of the
     * entry; the rest of the time is for a control loop that is behind.
     */
    private static final long MAX_START_OUTCOME_MILLIS = 3_000;

    private WorkerCommands() {}

    /** Starts an assigned task with {@code ticket}, which is empty if none is needed. */
    static WorkflowTransition start(WorkflowState state, TaskKey key, String ticket) {
        Job job = state.jobs().get(key.job());
        Task task = job.task(key);
        WorkerNode node = state.workers().get(task.worker());
        WorkerNode.Charge charge = node.charges().get(key).withStartSent(state.now());
        WorkerNode chargedNode =
                node.withCharge(key, charge)
                        .with(
                                node.contact()
                                        .withRunsUntil(
                                                WorkflowLimits.addLeaseMargin(
                                                        WorkerLeases.expiry(state))));
        long fence = WorkerLeases.commandFence(state, node.contact());
        WorkerCommand command =
                new WorkerCommand(CommandKind.START, node.id(), key, task.runNumber());
        return WorkflowTransition.of(
                        state.with(chargedNode)
                                .with(job.with(key, task.inPhase(Task.Phase.STARTING))))
                .with(
                        new WorkflowEffect.Start(
                                command,
                                node.listing(),
                                job.definition().payload(),
                                WorkerLeases.expiryOnWorkerClock(state, node),
                                state.fence(),
                                fence,
                                task.checkpoint(),
                                ticket))
                .with(
                        WorkflowEffect.LogEvent.of(
                                "task-start",
                                key,
                                "run",
                                task.runNumber(),
                                "worker",
                                node.id(),
                                "fence",
                                fence,
                                "born",
                                node.contact().born(),
                                "lease_end",
                                WorkerLeases.expiryOnWorkerClock(state, node),
                                "free",
                                node.freeCapacity(),
                                "waited_ms",
                                state.now() - job.progress(key.stepKey()).readyAt()));
    }

    /**
     * Stops the run of {@code key} that may be active on {@code worker}. If no start command was
     * sent, this method only releases the capacity.
     */
    static WorkflowTransition stop(WorkflowState state, String worker, TaskKey key) {
        WorkerNode node = state.workers().get(worker);
        WorkerNode.Charge charge = node == null ? null : node.charges().get(key);
        if (charge == null || charge.stopping()) {
            return WorkflowTransition.of(state);
        }
        if (charge.sentAt() < 0) {
            return WorkflowTransition.of(unassign(state, worker, key, charge.runNumber()));
        }
        return sendStop(markStopping(state, key, charge.runNumber()), worker, key);
    }

    private static WorkflowState unassign(
            WorkflowState state, String worker, TaskKey key, long runNumber) {
        return RunCompletions.runNotStarted(
                RunCompletions.releaseCharge(state, worker, key, runNumber), key, runNumber);
    }

    private static WorkflowState markStopping(WorkflowState state, TaskKey key, long runNumber) {
        Job job = state.jobs().get(key.job());
        if (job == null || !job.hasTask(key)) {
            return state;
        }
        Task task = job.task(key);
        // The member of a gang that has completed is done before its worker reports its end.
        boolean isNewestRun = task.runNumber() == runNumber && task.phase() != Task.Phase.DONE;
        return isNewestRun ? state.with(job.with(key, task.inPhase(Task.Phase.STOPPING))) : state;
    }

    private static WorkflowTransition sendStop(WorkflowState state, String worker, TaskKey key) {
        WorkerNode node = state.workers().get(worker);
        WorkerNode.Charge charge = node.charges().get(key);
        WorkerCommand command =
                new WorkerCommand(CommandKind.STOP, worker, key, charge.runNumber());
        return WorkflowTransition.of(
                        state.with(node.withCharge(key, charge.withStopSent(state.now()))))
                .with(
                        new WorkflowEffect.Stop(
                                command,
                                node.listing(),
                                state.fence(),
                                WorkerLeases.commandFence(state, node.contact())))
                .with(
                        WorkflowEffect.LogEvent.of(
                                "task-stop", key, "run", charge.runNumber(), "worker", worker));
    }

    /**
     * Stops all members of a gang that have the given run number, because one member has failed,
     * was interrupted or could not be started.
     */
    static WorkflowTransition abortGang(WorkflowState state, StepKey step, long runNumber) {
        Job job = state.jobs().get(step.job());
        WorkflowTransition result = WorkflowTransition.of(state);
        for (int i = 0; i < job.step(step).taskCount(); i++) {
            TaskKey key = step.task(i);
            Task task = job.task(key);
            if (task.runNumber() == runNumber && !task.worker().isEmpty()) {
                result = result.then(s -> stop(s, task.worker(), key));
            }
        }
        return result;
    }

    static WorkflowTransition completed(WorkflowState state, WorkflowEvent.CommandCompleted event) {
        WorkerCommand command = event.command();
        WorkerNode node = state.workers().get(command.worker());
        WorkerNode.Charge charge = node == null ? null : node.charges().get(command.task());
        WorkflowState next = state;
        if (event.outcome() == CommandOutcome.FENCED && state.leadership().leads()) {
            next = next.with(next.leadership().withoutConfirmation(next.now()));
        }
        if (charge == null || charge.runNumber() != command.runNumber()) {
            return WorkflowTransition.of(next);
        }
        return command.kind() == CommandKind.START
                ? startCompleted(next, event, node, charge)
                : stopCompleted(next, event, node, charge);
    }

    private static WorkflowTransition startCompleted(
            WorkflowState state,
            WorkflowEvent.CommandCompleted event,
            WorkerNode node,
            WorkerNode.Charge charge) {
        TaskKey key = event.command().task();
        if (event.outcome() == CommandOutcome.OK) {
            if (charge.stopping()) {
                return WorkflowTransition.of(state);
            }
            WorkflowState next =
                    state.with(node.withCharge(key, charge.withConfirmation(state.now())));
            return WorkflowTransition.of(withRunning(next, key, charge.runNumber()));
        }
        WorkflowTransition logged =
                WorkflowTransition.of(state)
                        .with(
                                WorkflowEffect.LogEvent.of(
                                        "start-refused",
                                        key,
                                        "run",
                                        charge.runNumber(),
                                        "worker",
                                        node.id(),
                                        "outcome",
                                        event.outcome(),
                                        "waited_ms",
                                        state.now() - charge.sentAt()));
        if (event.outcome() == CommandOutcome.UNKNOWN || event.outcome() == CommandOutcome.FENCED) {
            return charge.confirmedAt() >= 0
                    ? logged
                    : logged.then(s -> stopUnconfirmed(s, node.id(), key, charge.runNumber()));
        }
        return logged.then(s -> startRejected(s, event, charge.runNumber()));
    }

    private static WorkflowState withRunning(WorkflowState state, TaskKey key, long runNumber) {
        Job job = state.jobs().get(key.job());
        if (job == null || !job.hasTask(key)) {
            return state;
        }
        Task task = job.task(key);
        return task.runNumber() == runNumber && task.phase() == Task.Phase.STARTING
                ? state.with(job.with(key, task.inPhase(Task.Phase.RUNNING)))
                : state;
    }

    /**
     * Stops a run whose start command was not confirmed. The worker may still carry out the start
     * command later, but not after it has confirmed the stop command.
     */
    private static WorkflowTransition stopUnconfirmed(
            WorkflowState state, String worker, TaskKey key, long runNumber) {
        return isGang(state, key)
                ? abortGang(state, key.stepKey(), runNumber).then(s -> stop(s, worker, key))
                : stop(state, worker, key);
    }

    private static boolean isGang(WorkflowState state, TaskKey key) {
        Job job = state.jobs().get(key.job());
        return job != null && job.hasTask(key) && job.step(key.stepKey()).gang();
    }

    private static WorkflowTransition startRejected(
            WorkflowState state, WorkflowEvent.CommandCompleted event, long runNumber) {
        TaskKey key = event.command().task();
        String worker = event.command().worker();
        // A worker also rejects a repeated start as old if it has carried out the first one.
        WorkflowState next =
                event.outcome() == CommandOutcome.OLD
                        ? RunCompletions.runLost(
                                RunCompletions.releaseCharge(state, worker, key, runNumber),
                                key,
                                runNumber)
                        : unassign(state, worker, key, runNumber);
        next =
                switch (event.outcome()) {
                    case NO_TICKET -> AdviceDispatcher.expireTicket(next, key.stepKey(), worker);
                    case NO_ROOM, UNHEALTHY, NOT_SENT, OTHER_WORKER -> quarantined(next, worker);
                    default -> next;
                };
        return isGang(next, key)
                ? abortGang(next, key.stepKey(), runNumber)
                : WorkflowTransition.of(next);
    }

    private static WorkflowState quarantined(WorkflowState state, String worker) {
        WorkerNode node = state.workers().get(worker);
        WorkerNode.Health health = node.health();
        return state.with(
                node.with(
                        new WorkerNode.Health(
                                health.consecutiveFailures(),
                                state.now() + REFUSAL_QUARANTINE_MILLIS)));
    }

    private static WorkflowTransition stopCompleted(
            WorkflowState state,
            WorkflowEvent.CommandCompleted event,
            WorkerNode node,
            WorkerNode.Charge charge) {
        if (event.outcome() != CommandOutcome.OK) {
            return WorkflowTransition.of(state);
        }
        // The run has ended or will never start; the answer to the next lease renewal shows which.
        return WorkflowTransition.of(
                state.with(
                        node.withCharge(
                                event.command().task(), charge.withConfirmation(state.now()))));
    }

    /**
     * Repeats stop commands that have not been confirmed, and stops runs whose start commands have
     * had no outcome for too long.
     */
    static WorkflowTransition retryStops(WorkflowState state) {
        WorkflowTransition result = WorkflowTransition.of(state);
        if (!state.hasConfirmedLeadership()) {
            return result;
        }
        for (WorkerNode node : state.workers().values()) {
            for (Map.Entry<TaskKey, WorkerNode.Charge> taskAndCharge : node.charges().entrySet()) {
                WorkerNode.Charge charge = taskAndCharge.getValue();
                boolean repeat =
                        charge.stopping()
                                && charge.confirmedAt() < 0
                                && state.now() - charge.sentAt() > WorkflowLimits.STOP_RETRY_MILLIS;
                TaskKey key = taskAndCharge.getKey();
                if (repeat) {
                    result = result.then(s -> sendStop(s, node.id(), key));
                } else if (isOutcomeLost(charge, state.now())) {
                    result =
                            result.then(
                                    s -> stopUnconfirmed(s, node.id(), key, charge.runNumber()));
                }
            }
        }
        return result;
    }

    private static boolean isOutcomeLost(WorkerNode.Charge charge, long now) {
        return !charge.stopping()
                && charge.sentAt() >= 0
                && charge.confirmedAt() < 0
                && now - charge.sentAt() > MAX_START_OUTCOME_MILLIS;
    }
}
